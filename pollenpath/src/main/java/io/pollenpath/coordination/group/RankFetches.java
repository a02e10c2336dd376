package io.pollenpath.coordination.group;

import java.util.Arrays;

/** The fetches of each rank in one map change, over all sets of layers, with a common limit. */
final class RankFetches {

    private final int[] counts;
    private int limit;

    /**
     * Creates the fetches of a change that has none yet.
     *
     * @param ranks the number of ranks
     */
    RankFetches(int ranks) {
        counts = new int[ranks];
    }

    /** Raises the limit of the fetches of one rank by one. */
    void raiseLimit() {
        limit++;
    }

    /** Returns whether a rank may make one more fetch. */
    boolean mayAdd(int rank) {
        return counts[rank] < limit;
    }

    /** Adds fetches to those of a rank; a negative number takes them back. */
    void add(int rank, int fetches) {
        counts[rank] += fetches;
    }

    /** Returns the fetches of a rank. */
    int count(int rank) {
        return counts[rank];
    }

    /** Returns the fetches of the rank that has most of them. */
    int max() {
        return Arrays.stream(counts).max().orElse(0);
    }

    /** Returns the fetches of all ranks. */
    int sum() {
        return Arrays.stream(counts).sum();
    }

    /** Returns whether some rank can make no more fetches because of the limit. */
    boolean isLimitReached() {
        return max() >= limit;
    }
}
