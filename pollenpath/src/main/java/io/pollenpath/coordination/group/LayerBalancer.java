package io.pollenpath.coordination.group;

import java.util.List;

/**
 * Improves the placement of one set of layers greedily. Each change relieves the most loaded rank:
 * one of its experts gets a replica on another rank, or is swapped with an expert there.
 */
final class LayerBalancer {

    /** Load of the most loaded rank that needs no improvement, as a multiple of an even one. */
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
    private final double balancedLoad;
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

    private enum Kind {
        /** The target rank gets a replica of the expert. */
        REPLICATE,
        /** The target rank gets the replica of the source rank. */
        MOVE,
        /** The two ranks exchange replicas. */
        SWAP,
        /** The source rank drops its replica. */
        DROP
    }

    /**
     * A change that relieves a rank. A replica that moves or is added takes the slot of the expert
     * {@code replaced} on the target rank, or a free one.
     */
    private record Change(Kind kind, int expert, int from, int to, int replaced) {}

    /**
     * Creates a balancer.
     *
     * @param base the current experts of each rank
     * @param demand the demand for each expert; the sum is the number of ranks
     * @param slowdowns how many times longer each rank takes than usual
     * @param slotsPerRank the maximum number of experts on a rank
     * @param maxNew the maximum number of experts that are new to a rank
     * @param changeFetches the fetches of the change that this placement is a part of
     */
    LayerBalancer(
            List<List<Integer>> base,
            double[] demand,
            double[] slowdowns,
            int slotsPerRank,
            int maxNew,
            RankFetches changeFetches) {
        placement =
                new PlacementDraft(base, demand, slowdowns, slotsPerRank, maxNew, changeFetches);
        balancedLoad = BALANCED_LOAD * evenLoad(slowdowns);
        penalties = new double[base.size()];
        loadChange = new double[base.size()];
        affectedRanks = new int[base.size()];
        isAffected = new boolean[base.size()];
    }

    /** Returns the load of all ranks if each had its part by its speed. */
    private static double evenLoad(double[] slowdowns) {
        double speed = 0;
        for (double slowdown : slowdowns) {
            speed += 1 / slowdown;
        }
        return slowdowns.length / speed;
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
        if (changes >= MAX_CHANGES || maxLoad() <= balancedLoad) {
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
            if (placement.replicas(expert) > 1) {
                consider(Kind.DROP, expert, source, source, NONE);
            }
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
            considerReplica(expert, source, target, NONE);
        }
        for (int slot = 0; slot < placement.usedSlots(target); slot++) {
            int replaced = placement.expertAt(target, slot);
            if (placement.replicas(replaced) > 1) {
                considerReplica(expert, source, target, replaced);
            }
            if (!placement.hosts(source, replaced) && placement.mayHost(source, replaced)) {
                consider(Kind.SWAP, expert, source, target, replaced);
            }
        }
    }

    private void considerReplica(int expert, int source, int target, int replaced) {
        consider(Kind.REPLICATE, expert, source, target, replaced);
        consider(Kind.MOVE, expert, source, target, replaced);
    }

    private void consider(Kind kind, int expert, int source, int target, int replaced) {
        double gain = gainOf(kind, expert, source, target, replaced);
        gain /= 1 + FETCH_WEIGHT * precedingFetches(kind, expert, source, target, replaced);
        if (gain > bestGain) {
            bestGain = gain;
            best = new Change(kind, expert, source, target, replaced);
        }
    }

    /** Returns how many fetches precede those of the change, on the rank with the most of them. */
    private int precedingFetches(Kind kind, int expert, int source, int target, int replaced) {
        if (kind == Kind.DROP) {
            return 0;
        }
        int preceding = placement.mustFetch(target, expert) ? placement.totalFetches(target) : 0;
        if (kind == Kind.SWAP && placement.mustFetch(source, replaced)) {
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

    private double gainOf(Kind kind, int expert, int source, int target, int replaced) {
        affectedCount = 0;
        switch (kind) {
            case REPLICATE -> {
                addLoadChangeOfHosts(expert, 1);
                addLoadChange(target, loadOfReplica(expert, target, 1));
            }
            case MOVE -> {
                addLoadChange(source, -loadOfReplica(expert, source, 0));
                addLoadChange(target, loadOfReplica(expert, target, 0));
            }
            case SWAP -> {
                addLoadChange(source, loadOfReplica(replaced, source, 0));
                addLoadChange(source, -loadOfReplica(expert, source, 0));
                addLoadChange(target, loadOfReplica(expert, target, 0));
                addLoadChange(target, -loadOfReplica(replaced, target, 0));
            }
            case DROP -> addLoadChangeOfDrop(expert, source);
        }
        if (replaced != NONE && kind != Kind.SWAP) {
            addLoadChangeOfDrop(replaced, target);
        }
        return sumGain();
    }

    private double loadOfReplica(int expert, int rank, int moreReplicas) {
        return placement.loadOfReplica(expert, rank, placement.replicas(expert) + moreReplicas);
    }

    private void addLoadChangeOfDrop(int expert, int rank) {
        addLoadChangeOfHosts(expert, -1);
        addLoadChange(rank, -loadOfReplica(expert, rank, -1));
    }

    /** Records how the load of the hosts of an expert follows a change of its replica count. */
    private void addLoadChangeOfHosts(int expert, int moreReplicas) {
        for (int i = 0; i < placement.replicas(expert); i++) {
            int host = placement.hostAt(expert, i);
            double before = loadOfReplica(expert, host, 0);
            addLoadChange(host, loadOfReplica(expert, host, moreReplicas) - before);
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
        boolean leavesSource = change.kind() != Kind.REPLICATE;
        if (change.replaced() != NONE) {
            placement.remove(change.to(), change.replaced());
        }
        if (leavesSource) {
            placement.remove(change.from(), change.expert());
        }
        if (change.kind() == Kind.SWAP) {
            placement.add(change.from(), change.replaced());
        }
        if (change.kind() != Kind.DROP) {
            placement.add(change.to(), change.expert());
        }
    }
}
