package io.pollenpath.coordination.group;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A mutable placement of the experts of one set of layers, and the resulting load of each rank. The
 * replicas of an expert share its demand evenly. The load of a rank is its part of the demand times
 * the slowdown of the rank.
 */
final class PlacementDraft {

    private final int slotsPerRank;
    private final int maxNew;
    private final RankFetches changeFetches;
    private final double[] demand;
    private final double[] slowdowns;
    private final boolean[][] hostedBefore;
    private final boolean[][] hostedNow;
    private final int[][] slots;
    private final int[] usedSlots;
    private final int[] fetches;
    private final int[][] hosts;
    private final int[] replicas;
    private final double[] load;

    /**
     * Creates a draft that starts from a placement.
     *
     * @param base the current experts of each rank
     * @param demand the demand for each expert; the sum is the number of ranks
     * @param slowdowns how many times longer each rank takes than usual
     * @param slotsPerRank the maximum number of experts on a rank
     * @param maxNew the maximum number of experts that are new to a rank
     * @param changeFetches the fetches of the change, to which those of this draft are added
     */
    PlacementDraft(
            List<List<Integer>> base,
            double[] demand,
            double[] slowdowns,
            int slotsPerRank,
            int maxNew,
            RankFetches changeFetches) {
        this.changeFetches = changeFetches;
        this.slotsPerRank = slotsPerRank;
        this.maxNew = maxNew;
        this.demand = demand;
        this.slowdowns = slowdowns;
        int ranks = base.size();
        int experts = demand.length;
        hostedBefore = new boolean[ranks][experts];
        hostedNow = new boolean[ranks][experts];
        int maxHosted = base.stream().mapToInt(List::size).max().orElse(0);
        slots = new int[ranks][Math.max(slotsPerRank, maxHosted)];
        usedSlots = new int[ranks];
        fetches = new int[ranks];
        hosts = new int[experts][ranks];
        replicas = new int[experts];
        load = new double[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert : base.get(rank)) {
                hostedBefore[rank][expert] = true;
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
    double maxLoad() {
        return load[mostLoadedRank()];
    }

    int mostLoadedRank() {
        int busiest = 0;
        for (int rank = 1; rank < load.length; rank++) {
            if (load[rank] > load[busiest]) {
                busiest = rank;
            }
        }
        return busiest;
    }

    int usedSlots(int rank) {
        return usedSlots[rank];
    }

    /** Returns the expert in a slot of a rank; slots are numbered from 0. */
    int expertAt(int rank, int slot) {
        return slots[rank][slot];
    }

    boolean hosts(int rank, int expert) {
        return hostedNow[rank][expert];
    }

    int replicas(int expert) {
        return replicas[expert];
    }

    /** Returns one of the ranks that host an expert; the index is below its replica count. */
    int hostAt(int expert, int index) {
        return hosts[expert][index];
    }

    /** Returns the load of a replica on a rank, of an expert that has a number of replicas. */
    double loadOfReplica(int expert, int rank, int replicaCount) {
        return demand[expert] * slowdowns[rank] / replicaCount;
    }

    boolean hasFreeSlot(int rank) {
        return usedSlots[rank] < slotsPerRank;
    }

    /** Returns whether a rank may host an expert without exceeding the limits of its fetches. */
    boolean mayHost(int rank, int expert) {
        return hostedBefore[rank][expert] || (fetches[rank] < maxNew && changeFetches.mayAdd(rank));
    }

    /** Returns how many experts a rank fetches, including those of other sets of layers. */
    int totalFetches(int rank) {
        return changeFetches.count(rank);
    }

    /** Returns whether a rank must fetch an expert in order to host it. */
    boolean mustFetch(int rank, int expert) {
        return !hostedBefore[rank][expert];
    }

    /** Adds an expert to a rank that does not host it and has a free slot. */
    void add(int rank, int expert) {
        addExpertLoad(expert, -1);
        slots[rank][usedSlots[rank]] = expert;
        usedSlots[rank]++;
        hostedNow[rank][expert] = true;
        addFetches(rank, hostedBefore[rank][expert] ? 0 : 1);
        hosts[expert][replicas[expert]] = rank;
        replicas[expert]++;
        addExpertLoad(expert, 1);
    }

    /** Removes an expert from a rank that hosts it. */
    void remove(int rank, int expert) {
        addExpertLoad(expert, -1);
        usedSlots[rank]--;
        removeFrom(slots[rank], expert, usedSlots[rank]);
        hostedNow[rank][expert] = false;
        addFetches(rank, hostedBefore[rank][expert] ? 0 : -1);
        replicas[expert]--;
        removeFrom(hosts[expert], rank, replicas[expert]);
        addExpertLoad(expert, 1);
    }

    private void addFetches(int rank, int count) {
        fetches[rank] += count;
        changeFetches.add(rank, count);
    }

    /** Removes a value and keeps the order of the others; the last value is at index last. */
    private static void removeFrom(int[] values, int value, int last) {
        int index = 0;
        while (values[index] != value) {
            index++;
        }
        System.arraycopy(values, index + 1, values, index, last - index);
    }

    private void addExpertLoad(int expert, int sign) {
        for (int i = 0; i < replicas[expert]; i++) {
            int rank = hosts[expert][i];
            load[rank] += sign * loadOfReplica(expert, rank, replicas[expert]);
        }
    }

    /** Returns the experts of each rank. */
    List<List<Integer>> toLists() {
        List<List<Integer>> lists = new ArrayList<>();
        for (int rank = 0; rank < slots.length; rank++) {
            lists.add(Arrays.stream(slots[rank], 0, usedSlots[rank]).boxed().toList());
        }
        return lists;
    }
}
