package io.pollenpath.coordination.group;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Holds which ranks hold which experts of one set of layers while a new placement is worked out,
 * and the load of each rank. The replicas of an expert share its load evenly.
 */
final class PlacementDraft {

    private final int places;
    private final int maxNew;
    private final int[] otherFetches;
    private final double[] demand;
    private final boolean[][] heldBefore;
    private final boolean[][] heldNow;
    private final int[][] slots;
    private final int[] used;
    private final int[] fetches;
    private final int[][] holders;
    private final int[] replicas;
    private final double[] load;

    /**
     * Creates a placement.
     *
     * @param base the experts of each rank at first
     * @param demand the load of each expert; all together make up the number of ranks
     * @param places the most experts of a rank
     * @param maxNew the most experts that may be new to a rank
     * @param otherFetches how many experts each rank fetches for other sets of layers
     */
    PlacementDraft(
            List<List<Integer>> base, double[] demand, int places, int maxNew, int[] otherFetches) {
        this.otherFetches = otherFetches.clone();
        this.places = places;
        this.maxNew = maxNew;
        this.demand = demand;
        int ranks = base.size();
        int experts = demand.length;
        heldBefore = new boolean[ranks][experts];
        heldNow = new boolean[ranks][experts];
        int mostHeld = base.stream().mapToInt(List::size).max().orElse(0);
        slots = new int[ranks][Math.max(places, mostHeld)];
        used = new int[ranks];
        fetches = new int[ranks];
        holders = new int[experts][ranks];
        replicas = new int[experts];
        load = new double[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert : base.get(rank)) {
                heldBefore[rank][expert] = true;
                add(rank, expert);
            }
        }
    }

    int ranks() {
        return load.length;
    }

    double load(int rank) {
        return load[rank];
    }

    /** Returns the load of the most loaded rank; 1 is the mean. */
    double mostLoad() {
        return load[mostLoadedRank()];
    }

    int mostLoadedRank() {
        int most = 0;
        for (int rank = 1; rank < load.length; rank++) {
            if (load[rank] > load[most]) {
                most = rank;
            }
        }
        return most;
    }

    int held(int rank) {
        return used[rank];
    }

    /** Returns one of the experts of a rank; its slots are numbered from 0. */
    int expertAt(int rank, int slot) {
        return slots[rank][slot];
    }

    boolean holds(int rank, int expert) {
        return heldNow[rank][expert];
    }

    int replicas(int expert) {
        return replicas[expert];
    }

    /** Returns one of the ranks that hold an expert, numbered from 0 to its replicas. */
    int holder(int expert, int index) {
        return holders[expert][index];
    }

    /** Returns the load of each replica of an expert if it had a number of them. */
    double loadPerReplica(int expert, int number) {
        return demand[expert] / number;
    }

    boolean hasFreeSlot(int rank) {
        return used[rank] < places;
    }

    /** Tells whether a rank may hold an expert without fetching too many. */
    boolean mayHold(int rank, int expert) {
        return heldBefore[rank][expert] || fetches[rank] < maxNew;
    }

    /** Returns how many experts a rank fetches, for the other sets of layers as well. */
    int allFetches(int rank) {
        return otherFetches[rank] + fetches[rank];
    }

    /** Tells whether a rank would have to fetch an expert. */
    boolean mustFetch(int rank, int expert) {
        return !heldBefore[rank][expert];
    }

    /** Gives a rank an expert that it does not hold; it must have a free slot. */
    void add(int rank, int expert) {
        shiftLoad(expert, -1);
        slots[rank][used[rank]] = expert;
        used[rank]++;
        heldNow[rank][expert] = true;
        fetches[rank] += heldBefore[rank][expert] ? 0 : 1;
        holders[expert][replicas[expert]] = rank;
        replicas[expert]++;
        shiftLoad(expert, 1);
    }

    /** Takes an expert away from a rank that holds it. */
    void remove(int rank, int expert) {
        shiftLoad(expert, -1);
        used[rank]--;
        removeFrom(slots[rank], expert, used[rank]);
        heldNow[rank][expert] = false;
        fetches[rank] -= heldBefore[rank][expert] ? 0 : 1;
        replicas[expert]--;
        removeFrom(holders[expert], rank, replicas[expert]);
        shiftLoad(expert, 1);
    }

    /** Removes a value and keeps the order of the others; the last one is at an index. */
    private static void removeFrom(int[] values, int value, int last) {
        int index = 0;
        while (values[index] != value) {
            index++;
        }
        System.arraycopy(values, index + 1, values, index, last - index);
    }

    private void shiftLoad(int expert, int sign) {
        for (int i = 0; i < replicas[expert]; i++) {
            load[holders[expert][i]] += sign * demand[expert] / replicas[expert];
        }
    }

    /** Returns the experts of each rank. */
    List<List<Integer>> toLists() {
        List<List<Integer>> lists = new ArrayList<>();
        for (int rank = 0; rank < slots.length; rank++) {
            lists.add(Arrays.stream(slots[rank], 0, used[rank]).boxed().toList());
        }
        return lists;
    }
}
