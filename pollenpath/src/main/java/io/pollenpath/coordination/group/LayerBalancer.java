package io.pollenpath.coordination.group;

import java.util.Arrays;
import java.util.List;

/**
 * Improves the placement of one set of layers greedily. Each iteration relieves the most loaded
 * rank: one of its experts gets a replica on another rank, or is swapped with an expert there.
 */
final class LayerBalancer {

    /** Load of the most loaded rank, as a multiple of the mean, that needs no improvement. */
    private static final double EVEN_ENOUGH = 1.1;

    private static final int MAX_STEPS = 48;

    /** Minimum decrease of the total load penalty by one change, as a fraction of the total. */
    private static final double MIN_IMPROVEMENT = 0.1;

    /**
     * Discount of a change for each fetch that its rank makes before: the gain is divided by 1 plus
     * this weight times the number of fetches.
     */
    private static final double FETCH_WEIGHT = 0.5;

    private static final int NONE = -1;

    private final PlacementDraft placement;
    private final double[] norms;
    private final double[] delta;
    private final int[] touched;
    private final boolean[] isTouched;
    private int touchedCount;
    private Change best;
    private double bestGain;

    /**
     * A replica of an expert on another rank, in place of the expert {@code replaced} or in a free
     * slot. In a trade, the replaced expert takes the slot of the first one on its rank.
     */
    private record Change(int expert, int from, int to, int replaced, boolean trade) {}

    /**
     * Creates a balancer.
     *
     * @param base the current experts of each rank
     * @param demand the load of each expert; the sum is the number of ranks
     * @param places the maximum number of experts on a rank
     * @param maxNew the maximum number of experts that are new to a rank
     * @param otherFetches the number of experts that each rank fetches for other sets of layers
     */
    LayerBalancer(
            List<List<Integer>> base, double[] demand, int places, int maxNew, int[] otherFetches) {
        placement = new PlacementDraft(base, demand, places, maxNew, otherFetches);
        norms = new double[base.size()];
        delta = new double[base.size()];
        touched = new int[base.size()];
        isTouched = new boolean[base.size()];
    }

    /** Returns the load of the most loaded rank, as a multiple of the mean. */
    double mostLoad() {
        return placement.mostLoad();
    }

    /** Returns how many experts each rank fetches, including those of other sets of layers. */
    int[] allFetches() {
        int[] fetches = new int[placement.ranks()];
        Arrays.setAll(fetches, placement::allFetches);
        return fetches;
    }

    /** Improves the placement until no change is worthwhile, and returns it. */
    List<List<Integer>> improve() {
        for (int step = 0; step < MAX_STEPS && mostLoad() > EVEN_ENOUGH; step++) {
            Change best = bestChange();
            if (best == null) {
                break;
            }
            apply(best);
        }
        return placement.toLists();
    }

    /** Returns the change that relieves the most loaded rank best; null if none is worthwhile. */
    private Change bestChange() {
        best = null;
        bestGain = MIN_IMPROVEMENT * sumNorms();
        int giver = placement.mostLoadedRank();
        for (int slot = 0; slot < placement.held(giver); slot++) {
            int expert = placement.expertAt(giver, slot);
            for (int taker = 0; taker < placement.ranks(); taker++) {
                if (!placement.holds(taker, expert) && placement.mayHold(taker, expert)) {
                    considerTaker(expert, giver, taker);
                }
            }
        }
        return best;
    }

    private void considerTaker(int expert, int giver, int taker) {
        if (placement.hasFreeSlot(taker)) {
            consider(expert, giver, taker, NONE, false);
        }
        for (int slot = 0; slot < placement.held(taker); slot++) {
            int replaced = placement.expertAt(taker, slot);
            if (placement.replicas(replaced) > 1) {
                consider(expert, giver, taker, replaced, false);
            }
            if (!placement.holds(giver, replaced) && placement.mayHold(giver, replaced)) {
                consider(expert, giver, taker, replaced, true);
            }
        }
    }

    private void consider(int expert, int giver, int taker, int replaced, boolean trade) {
        double gain = gainOf(expert, giver, taker, replaced, trade);
        gain /= 1 + FETCH_WEIGHT * waitingFetches(expert, giver, taker, replaced, trade);
        if (gain > bestGain) {
            bestGain = gain;
            best = new Change(expert, giver, taker, replaced, trade);
        }
    }

    /** Returns how many fetches precede those of the change, on the rank with the most of them. */
    private int waitingFetches(int expert, int giver, int taker, int replaced, boolean trade) {
        int waiting = placement.mustFetch(taker, expert) ? placement.allFetches(taker) : 0;
        if (trade && placement.mustFetch(giver, replaced)) {
            waiting = Math.max(waiting, placement.allFetches(giver));
        }
        return waiting;
    }

    private double sumNorms() {
        double sum = 0;
        for (int rank = 0; rank < norms.length; rank++) {
            norms[rank] = norm(placement.load(rank));
            sum += norms[rank];
        }
        return sum;
    }

    /**
     * Returns the 12th power of a load. In the sum, the most loaded rank dominates and the next
     * ones still count.
     */
    private static double norm(double load) {
        double cube = load * load * load;
        double sixth = cube * cube;
        return sixth * sixth;
    }

    private double gainOf(int expert, int giver, int taker, int replaced, boolean trade) {
        touchedCount = 0;
        if (trade) {
            double given = loadPerReplica(expert, 0);
            double taken = loadPerReplica(replaced, 0);
            touch(giver, taken - given);
            touch(taker, given - taken);
        } else {
            touchHolders(expert, 1);
            touch(taker, loadPerReplica(expert, 1));
            if (replaced != NONE) {
                touchHolders(replaced, -1);
                touch(taker, -loadPerReplica(replaced, -1));
            }
        }
        return endTouching();
    }

    private double loadPerReplica(int expert, int moreReplicas) {
        return placement.loadPerReplica(expert, placement.replicas(expert) + moreReplicas);
    }

    /** Records how the load of the hosts of an expert follows a change of its replica count. */
    private void touchHolders(int expert, int moreReplicas) {
        double change = loadPerReplica(expert, moreReplicas) - loadPerReplica(expert, 0);
        for (int i = 0; i < placement.replicas(expert); i++) {
            touch(placement.holder(expert, i), change);
        }
    }

    private void touch(int rank, double change) {
        if (!isTouched[rank]) {
            isTouched[rank] = true;
            delta[rank] = 0;
            touched[touchedCount] = rank;
            touchedCount++;
        }
        delta[rank] += change;
    }

    private double endTouching() {
        double gain = 0;
        for (int i = 0; i < touchedCount; i++) {
            int rank = touched[i];
            gain += norms[rank] - norm(placement.load(rank) + delta[rank]);
            isTouched[rank] = false;
        }
        return gain;
    }

    private void apply(Change change) {
        if (change.replaced() != NONE) {
            placement.remove(change.to(), change.replaced());
        }
        if (change.trade()) {
            placement.remove(change.from(), change.expert());
            placement.add(change.from(), change.replaced());
        }
        placement.add(change.to(), change.expert());
    }
}
