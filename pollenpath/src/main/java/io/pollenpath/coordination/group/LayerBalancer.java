package io.pollenpath.coordination.group;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Improves the placement of one set of layers step by step: the most loaded rank gives an expert a
 * further replica elsewhere, or trades one with another rank. The replicas of an expert share its
 * load evenly.
 */
final class LayerBalancer {

    /** Large enough that the most loaded rank decides, small enough to see the next ones. */
    private static final int NORM = 12;

    /** The load of the most loaded rank, as a multiple of the mean, that is left alone. */
    private static final double EVEN_ENOUGH = 1.1;

    private static final int MAX_STEPS = 48;
    private static final double MIN_IMPROVEMENT = 0.1;
    private static final int NONE = -1;

    private final int ranks;
    private final int places;
    private final int maxNew;
    private final double[] demand;
    private final List<List<Integer>> base;
    private final List<List<Integer>> held = new ArrayList<>();
    private final int[] replicas;
    private final double[] load;
    private final double[] delta;

    /** A change: expert goes to a rank in place of another one, which may go to the giver. */
    private record Change(int expert, int from, int to, int replaced, boolean trade) {}

    /**
     * Creates a balancer.
     *
     * @param base the experts of each rank now
     * @param demand the load of each expert; all together make up the number of ranks
     * @param places the most experts of a rank
     * @param maxNew the most experts that may be new to a rank
     */
    LayerBalancer(List<List<Integer>> base, double[] demand, int places, int maxNew) {
        this.base = base;
        this.demand = demand;
        this.places = places;
        this.maxNew = maxNew;
        ranks = base.size();
        replicas = new int[demand.length];
        load = new double[ranks];
        delta = new double[ranks];
        for (List<Integer> experts : base) {
            held.add(new ArrayList<>(experts));
            experts.forEach(expert -> replicas[expert]++);
        }
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert : held.get(rank)) {
                load[rank] += demand[expert] / replicas[expert];
            }
        }
    }

    /** Returns the load of the most loaded rank; 1 is the mean. */
    double mostLoad() {
        return Arrays.stream(load).max().orElse(0);
    }

    /** Improves the placement until nothing more is won. */
    List<List<Integer>> improve() {
        for (int step = 0; step < MAX_STEPS && mostLoad() > EVEN_ENOUGH; step++) {
            Change best = bestChange();
            if (best == null) {
                break;
            }
            apply(best);
        }
        return held;
    }

    private Change bestChange() {
        int giver = mostLoadedRank();
        double bestGain = MIN_IMPROVEMENT * norm();
        Change best = null;
        for (int expert : List.copyOf(held.get(giver))) {
            for (int taker = 0; taker < ranks; taker++) {
                if (taker == giver || held.get(taker).contains(expert) || !mayTake(taker, expert)) {
                    continue;
                }
                for (Change change : changes(expert, giver, taker)) {
                    double gain = gainOf(change);
                    if (gain > bestGain) {
                        bestGain = gain;
                        best = change;
                    }
                }
            }
        }
        return best;
    }

    private List<Change> changes(int expert, int giver, int taker) {
        List<Change> changes = new ArrayList<>();
        if (held.get(taker).size() < places) {
            changes.add(new Change(expert, giver, taker, NONE, false));
        }
        for (int other : held.get(taker)) {
            if (replicas[other] > 1) {
                changes.add(new Change(expert, giver, taker, other, false));
            }
            if (!held.get(giver).contains(other) && mayTake(giver, other)) {
                changes.add(new Change(expert, giver, taker, other, true));
            }
        }
        return changes;
    }

    private boolean mayTake(int rank, int expert) {
        if (base.get(rank).contains(expert)) {
            return true;
        }
        int fresh = 0;
        for (int one : held.get(rank)) {
            fresh += base.get(rank).contains(one) ? 0 : 1;
        }
        return fresh < maxNew;
    }

    private int mostLoadedRank() {
        int most = 0;
        for (int rank = 1; rank < ranks; rank++) {
            if (load[rank] > load[most]) {
                most = rank;
            }
        }
        return most;
    }

    private double norm() {
        double norm = 0;
        for (double one : load) {
            norm += Math.pow(one, NORM);
        }
        return norm;
    }

    private double gainOf(Change change) {
        Arrays.fill(delta, 0);
        addDelta(change);
        double gain = 0;
        for (int rank = 0; rank < ranks; rank++) {
            if (delta[rank] != 0) {
                gain += Math.pow(load[rank], NORM) - Math.pow(load[rank] + delta[rank], NORM);
            }
        }
        return gain;
    }

    private void addDelta(Change change) {
        if (change.trade()) {
            double given = demand[change.expert()] / replicas[change.expert()];
            double taken = demand[change.replaced()] / replicas[change.replaced()];
            delta[change.from()] += taken - given;
            delta[change.to()] += given - taken;
            return;
        }
        spread(change.expert(), replicas[change.expert()] + 1);
        delta[change.to()] += demand[change.expert()] / (replicas[change.expert()] + 1);
        if (change.replaced() != NONE) {
            int other = change.replaced();
            spread(other, replicas[other] - 1);
            delta[change.to()] -= demand[other] / (replicas[other] - 1);
        }
    }

    /** Adds what changes on the holders of an expert when its number of replicas changes. */
    private void spread(int expert, int newReplicas) {
        double change = demand[expert] / newReplicas - demand[expert] / replicas[expert];
        for (int rank = 0; rank < ranks; rank++) {
            if (held.get(rank).contains(expert)) {
                delta[rank] += change;
            }
        }
    }

    private void apply(Change change) {
        Arrays.fill(delta, 0);
        addDelta(change);
        for (int rank = 0; rank < ranks; rank++) {
            load[rank] += delta[rank];
        }
        held.get(change.to()).add(change.expert());
        if (change.trade()) {
            held.get(change.from()).remove(Integer.valueOf(change.expert()));
            held.get(change.from()).add(change.replaced());
        } else {
            replicas[change.expert()]++;
        }
        if (change.replaced() != NONE) {
            held.get(change.to()).remove(Integer.valueOf(change.replaced()));
            replicas[change.replaced()] -= change.trade() ? 0 : 1;
        }
    }
}
