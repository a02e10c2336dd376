package io.pollenpath.coordination.experts;

import java.util.ArrayList;
import java.util.List;

/**
 * Moves a few experts at a time, and only if the gain exceeds the cost of the moves.
 *
 * <p>Each change relieves one of the busiest ranks. An expert gets a replica on a rank with little
 * load, in place of the least loaded redundant replica there, or is exchanged with an expert there,
 * whichever lowers the load penalty most for each expert moved. The plan is the prefix of this
 * sequence of changes with the highest net gain: the decrease of the busiest rank's load, times the
 * intervals for which the forecast is expected to hold, minus the cost of the moves. If no prefix
 * has a positive net gain, nothing moves. This hysteresis prevents moves for small gains.
 */
public final class GreedyPolicy implements RebalancePolicy {

    private static final int SWEEPS_AFTER_CHANGE = 1;
    private static final int COLD_RANKS = 6;
    private static final int HOT_RANKS = 8;
    private static final int MAX_CHANGES_WITHOUT_GAIN = 10;
    private static final double MIN_GAIN = 1e-6;

    private final double moveCost;
    private final double tolerance;
    private final int maxMoves;

    /**
     * Creates a policy.
     *
     * @param moveCost the cost of fetching one expert, in units of skew times planning intervals,
     *     not negative
     * @param tolerance the load of the busiest rank above the mean that needs no change, as a
     *     multiple of the mean
     * @param maxMoves the number of moved experts in a layer after which a plan gets no further
     *     change, at least 1
     */
    public GreedyPolicy(double moveCost, double tolerance, int maxMoves) {
        if (!(moveCost >= 0) || maxMoves < 1) {
            throw new IllegalArgumentException(
                    "moveCost is "
                            + moveCost
                            + ", maxMoves "
                            + maxMoves
                            + "; set moveCost to at least 0 and maxMoves to at least 1");
        }
        this.moveCost = moveCost;
        this.tolerance = tolerance;
        this.maxMoves = maxMoves;
    }

    @Override
    public LayerPlacement plan(LayerPlacement current, double[] forecast, double horizon) {
        LoadSplit split = new LoadSplit(current, forecast);
        double initialMaxLoad = split.rankLoad(split.busiestRank());
        LayerPlacement best = current;
        double bestNetGain = 0;
        double lowestMaxLoad = initialMaxLoad;
        int changesWithoutGain = 0;
        int moves = 0;
        while (moves < maxMoves
                && changesWithoutGain < MAX_CHANGES_WITHOUT_GAIN
                && lowestMaxLoad > 1 + tolerance) {
            int moved = applyBest(split, current);
            if (moved == 0) {
                break;
            }
            moves += moved;
            double maxLoad = split.rankLoad(split.busiestRank());
            changesWithoutGain = maxLoad < lowestMaxLoad ? 0 : changesWithoutGain + 1;
            lowestMaxLoad = Math.min(lowestMaxLoad, maxLoad);
            double netGain = (initialMaxLoad - maxLoad) * horizon - moveCost * moves;
            if (netGain > bestNetGain) {
                bestNetGain = netGain;
                best = split.placement();
            }
        }
        return best;
    }

    /**
     * Applies the best change of the first of the busiest ranks that has a useful one. Balanced
     * ranks have equal load, so relieving one of them relieves all.
     *
     * @return the number of experts moved; 0 if no change is useful
     */
    private static int applyBest(LoadSplit split, LayerPlacement shape) {
        double penaltyBefore = split.loadPenalty();
        for (int hot : ranksByLoad(split, shape.ranks(), HOT_RANKS, -1)) {
            Change best = bestChange(split, shape, hot, penaltyBefore);
            if (best != null) {
                best.apply(split);
                split.balance(SWEEPS_AFTER_CHANGE);
                return best.moves();
            }
        }
        return 0;
    }

    private static Change bestChange(
            LoadSplit split, LayerPlacement shape, int hot, double penaltyBefore) {
        Change best = null;
        double bestGain = MIN_GAIN * penaltyBefore;
        for (Change change : candidates(split, shape, hot)) {
            double gain = (penaltyBefore - change.penaltyAfter(split)) / change.moves();
            if (gain > bestGain) {
                bestGain = gain;
                best = change;
            }
        }
        return best;
    }

    /** Returns the replicas that lightly loaded ranks can add, and the exchanges with them. */
    private static List<Change> candidates(LoadSplit split, LayerPlacement shape, int hot) {
        List<Change> changes = new ArrayList<>();
        for (int rank : ranksByLoad(split, shape.ranks(), COLD_RANKS, 1)) {
            if (rank != hot) {
                addCandidates(split, shape, hot, rank, changes);
            }
        }
        return changes;
    }

    private static void addCandidates(
            LoadSplit split, LayerPlacement shape, int hot, int cold, List<Change> changes) {
        int hotFrom = hot * shape.slotsPerRank();
        int coldFrom = cold * shape.slotsPerRank();
        int redundant = redundantSlot(split, shape, cold);
        for (int i = 0; i < shape.slotsPerRank(); i++) {
            int expert = split.expertOf(hotFrom + i);
            boolean loaded = split.slotLoad(hotFrom + i) > 0;
            if (!loaded || split.hosts(cold, expert)) {
                continue;
            }
            if (redundant >= 0) {
                changes.add(Change.replicate(redundant, expert));
            }
            int other = exchangeSlot(split, shape, hotFrom + i, coldFrom, hot);
            if (other >= 0) {
                changes.add(Change.exchange(split, hotFrom + i, other));
            }
        }
    }

    /** Returns the slot of the least loaded redundant replica on a rank; -1 if there is none. */
    private static int redundantSlot(LoadSplit split, LayerPlacement shape, int rank) {
        int from = rank * shape.slotsPerRank();
        int best = -1;
        for (int slot = from; slot < from + shape.slotsPerRank(); slot++) {
            boolean replicated = split.replicas(split.expertOf(slot)) > 1;
            if (replicated && (best < 0 || split.slotLoad(slot) < split.slotLoad(best))) {
                best = slot;
            }
        }
        return best;
    }

    /** Returns the slot of a cold rank whose exchange best evens out both ranks; -1 if none. */
    private static int exchangeSlot(
            LoadSplit split, LayerPlacement shape, int hotSlot, int coldFrom, int hot) {
        int cold = coldFrom / shape.slotsPerRank();
        double gap = split.rankLoad(hot) - split.rankLoad(cold);
        double targetLoad = split.slotLoad(hotSlot) - gap / 2;
        int best = -1;
        for (int slot = coldFrom; slot < coldFrom + shape.slotsPerRank(); slot++) {
            boolean lighter = split.slotLoad(slot) < split.slotLoad(hotSlot);
            if (!lighter || split.hosts(hot, split.expertOf(slot))) {
                continue;
            }
            double distance = Math.abs(split.slotLoad(slot) - targetLoad);
            if (best < 0 || distance < Math.abs(split.slotLoad(best) - targetLoad)) {
                best = slot;
            }
        }
        return best;
    }

    /** Returns the least loaded ranks in order, or with sign -1 the most loaded ones. */
    private static int[] ranksByLoad(LoadSplit split, int ranks, int limit, int sign) {
        int[] found = new int[Math.min(limit, ranks)];
        int count = 0;
        for (int rank = 0; rank < ranks; rank++) {
            int at = count;
            while (at > 0 && sign * split.rankLoad(found[at - 1]) > sign * split.rankLoad(rank)) {
                at--;
            }
            if (at < found.length) {
                int end = Math.min(count, found.length - 1);
                System.arraycopy(found, at, found, at + 1, end - at);
                found[at] = rank;
                count = Math.min(count + 1, found.length);
            }
        }
        return found;
    }

    /** A reassignment of one or two slots to other experts; the second slot is -1 if unused. */
    private record Change(int slot, int expert, int otherSlot, int otherExpert) {

        static Change replicate(int slot, int expert) {
            return new Change(slot, expert, -1, -1);
        }

        static Change exchange(LoadSplit split, int slot, int otherSlot) {
            return new Change(slot, split.expertOf(otherSlot), otherSlot, split.expertOf(slot));
        }

        int moves() {
            return otherSlot < 0 ? 1 : 2;
        }

        void apply(LoadSplit split) {
            split.reassign(slot, expert);
            if (otherSlot >= 0) {
                split.reassign(otherSlot, otherExpert);
            }
        }

        /** Returns the load penalty after the change, without keeping the change. */
        double penaltyAfter(LoadSplit split) {
            int before = split.expertOf(slot);
            apply(split);
            double penalty = split.loadPenalty();
            split.reassign(slot, before);
            if (otherSlot >= 0) {
                split.reassign(otherSlot, expert);
            }
            return penalty;
        }
    }
}
