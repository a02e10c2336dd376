package io.pollenpath.coordination.group;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A mutable placement of the experts of one set of layers, and the resulting load of each rank. The
 * replicas of an expert share its load evenly.
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
     * Creates a draft that starts from a placement.
     *
     * @param base the current experts of each rank
     * @param demand the load of each expert; the sum is the number of ranks
     * @param places the maximum number of experts on a rank
     * @param maxNew the maximum number of experts that are new to a rank
     * @param otherFetches the number of experts that each rank fetches for other sets of layers
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

    /** Returns the load of the most loaded rank, as a multiple of the mean. */
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

    /** Returns the expert in a slot of a rank; slots are numbered from 0. */
    int expertAt(int rank, int slot) {
        return slots[rank][slot];
    }

    boolean holds(int rank, int expert) {
        return heldNow[rank][expert];
    }

    int replicas(int expert) {
        return replicas[expert];
    }

    /** Returns one of the ranks that host an expert; the index is below its replica count. */
    int holder(int expert, int index) {
        return holders[expert][index];
    }

    /** Returns the load of each replica of an expert that has a given number of replicas. */
    double loadPerReplica(int expert, int number) {
        return demand[expert] / number;
    }

    boolean hasFreeSlot(int rank) {
        return used[rank] < places;
    }

    /** Returns whether a rank may host an expert without exceeding its maximum of new experts. */
    boolean mayHold(int rank, int expert) {
        return heldBefore[rank][expert] || fetches[rank] < maxNew;
    }

    /** Returns how many experts a rank fetches, including those of other sets of layers. */
    int allFetches(int rank) {
        return otherFetches[rank] + fetches[rank];
    }

    /** Returns whether a rank must fetch an expert in order to host it. */
    boolean mustFetch(int rank, int expert) {
        return !heldBefore[rank][expert];
    }

    /** Adds an expert to a rank that does not host it and has a free slot. */
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

    /** Removes an expert from a rank that hosts it. */
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

    /** Removes a value and keeps the order of the others; the last value is at index last. */
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
