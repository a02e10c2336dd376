package io.pollenpath.coordination.group;

import java.util.List;

/**
 * Improves the placement of one set of layers greedily. Each change relieves the most loaded rank:
 * one of its experts gets a replica on another rank, or is swapped with an expert there.
 */
final class LayerBalancer {

    /** Load of the most loaded rank, as a multiple of the mean, that needs no improvement. */
    private static final double BALANCED_LOAD = 1.1;

    private static final int MAX_CHANGES = 48;

    /** Minimum decrease of the total load penalty by one change, as a fraction of the total. */
    private static final double MIN_IMPROVEMENT = 0.1;

    /**
     * Discount of a change for each fetch that its rank makes before: the gain is divided by 1 plus
     * this weight times the number of fetches.
     */
    private static final double FETCH_WEIGHT = 0.5;

    private static final int NONE = -1;

    private final PlacementDraft placement;
    private final double[] penalties;
    private final double[] loadChange;
    private final int[] affectedRanks;
    private final boolean[] isAffected;
    private int affectedCount;
    private int changes;

    /** The experts of each rank; empty while they are not listed since the last change. */
    private List<List<Integer>> lists = List.of();

    private Change best;
    private double bestGain;

    /**
     * A replica of an expert on another rank, in place of the expert {@code replaced} or in a free
     * slot. In a swap, the replaced expert takes the slot of the first one on its rank.
     */
    private record Change(int expert, int from, int to, int replaced, boolean swap) {}

    /**
     * Creates a balancer.
     *
     * @param base the current experts of each rank
     * @param demand the load of each expert; the sum is the number of ranks
     * @param slotsPerRank the maximum number of experts on a rank
     * @param maxNew the maximum number of experts that are new to a rank
     * @param changeFetches the fetches of the change that this placement is a part of
     */
    LayerBalancer(
            List<List<Integer>> base,
            double[] demand,
            int slotsPerRank,
            int maxNew,
            RankFetches changeFetches) {
        placement = new PlacementDraft(base, demand, slotsPerRank, maxNew, changeFetches);
        penalties = new double[base.size()];
        loadChange = new double[base.size()];
        affectedRanks = new int[base.size()];
        isAffected = new boolean[base.size()];
    }

    /** Returns the load of the most loaded rank, as a multiple of the mean. */
    double maxLoad() {
        return placement.maxLoad();
    }

    /**
     * Makes the change that relieves the most loaded rank best, within the limits of the fetches.
     *
     * @return false if no change is worthwhile
     */
    boolean improveOnce() {
        if (changes >= MAX_CHANGES || maxLoad() <= BALANCED_LOAD) {
            return false;
        }
        Change best = bestChange();
        if (best == null) {
            return false;
        }
        apply(best);
        lists = List.of();
        changes++;
        return true;
    }

    /** Returns the experts of each rank. */
    List<List<Integer>> placement() {
        if (lists.isEmpty()) {
            lists = placement.toLists();
        }
        return lists;
    }

    /** Returns the change that relieves the most loaded rank best; null if none is worthwhile. */
    private Change bestChange() {
        best = null;
        bestGain = MIN_IMPROVEMENT * updatePenalties();
        int source = placement.mostLoadedRank();
        for (int slot = 0; slot < placement.usedSlots(source); slot++) {
            int expert = placement.expertAt(source, slot);
            for (int target = 0; target < placement.ranks(); target++) {
                if (!placement.hosts(target, expert) && placement.mayHost(target, expert)) {
                    considerTarget(expert, source, target);
                }
            }
        }
        return best;
    }

    private void considerTarget(int expert, int source, int target) {
        if (placement.hasFreeSlot(target)) {
            consider(expert, source, target, NONE, false);
        }
        for (int slot = 0; slot < placement.usedSlots(target); slot++) {
            int replaced = placement.expertAt(target, slot);
            if (placement.replicas(replaced) > 1) {
                consider(expert, source, target, replaced, false);
            }
            if (!placement.hosts(source, replaced) && placement.mayHost(source, replaced)) {
                consider(expert, source, target, replaced, true);
            }
        }
    }

    private void consider(int expert, int source, int target, int replaced, boolean swap) {
        double gain = gainOf(expert, source, target, replaced, swap);
        gain /= 1 + FETCH_WEIGHT * precedingFetches(expert, source, target, replaced, swap);
        if (gain > bestGain) {
            bestGain = gain;
            best = new Change(expert, source, target, replaced, swap);
        }
    }

    /** Returns how many fetches precede those of the change, on the rank with the most of them. */
    private int precedingFetches(int expert, int source, int target, int replaced, boolean swap) {
        int preceding = placement.mustFetch(target, expert) ? placement.totalFetches(target) : 0;
        if (swap && placement.mustFetch(source, replaced)) {
            preceding = Math.max(preceding, placement.totalFetches(source));
        }
        return preceding;
    }

    private double updatePenalties() {
        double sum = 0;
        for (int rank = 0; rank < penalties.length; rank++) {
            penalties[rank] = loadPenalty(placement.load(rank));
            sum += penalties[rank];
        }
        return sum;
    }

    /**
     * Returns the 12th power of a load. In the sum, the most loaded rank dominates and the next
     * ones still count.
     */
    private static double loadPenalty(double load) {
        double cube = load * load * load;
        double sixth = cube * cube;
        return sixth * sixth;
    }

    private double gainOf(int expert, int source, int target, int replaced, boolean swap) {
        affectedCount = 0;
        if (swap) {
            double outgoing = loadPerReplica(expert, 0);
            double incoming = loadPerReplica(replaced, 0);
            addLoadChange(source, incoming - outgoing);
            addLoadChange(target, outgoing - incoming);
        } else {
            addLoadChangeOfHosts(expert, 1);
            addLoadChange(target, loadPerReplica(expert, 1));
            if (replaced != NONE) {
                addLoadChangeOfHosts(replaced, -1);
                addLoadChange(target, -loadPerReplica(replaced, -1));
            }
        }
        return sumGain();
    }

    private double loadPerReplica(int expert, int moreReplicas) {
        return placement.loadPerReplica(expert, placement.replicas(expert) + moreReplicas);
    }

    /** Records how the load of the hosts of an expert follows a change of its replica count. */
    private void addLoadChangeOfHosts(int expert, int moreReplicas) {
        double change = loadPerReplica(expert, moreReplicas) - loadPerReplica(expert, 0);
        for (int i = 0; i < placement.replicas(expert); i++) {
            addLoadChange(placement.hostAt(expert, i), change);
        }
    }

    private void addLoadChange(int rank, double change) {
        if (!isAffected[rank]) {
            isAffected[rank] = true;
            loadChange[rank] = 0;
            affectedRanks[affectedCount] = rank;
            affectedCount++;
        }
        loadChange[rank] += change;
    }

    private double sumGain() {
        double gain = 0;
        for (int i = 0; i < affectedCount; i++) {
            int rank = affectedRanks[i];
            gain += penalties[rank] - loadPenalty(placement.load(rank) + loadChange[rank]);
            isAffected[rank] = false;
        }
        return gain;
    }

    private void apply(Change change) {
        if (change.replaced() != NONE) {
            placement.remove(change.to(), change.replaced());
        }
        if (change.swap()) {
            placement.remove(change.from(), change.expert());
            placement.add(change.from(), change.replaced());
        }
        placement.add(change.to(), change.expert());
    }
}
