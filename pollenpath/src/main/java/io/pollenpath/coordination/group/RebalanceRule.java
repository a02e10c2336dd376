package io.pollenpath.coordination.group;

import io.pollenpath.state.serving.GroupShape;

/** Decides whether a planned map repays its fetches. */
public final class RebalanceRule {

    /** The least drop of the most loaded rank's load, in multiples of the mean. */
    static final double MIN_GAIN = 0.12;

    /** What a fetch of every rank in every set of layers must win, in multiples of the mean. */
    static final double GAIN_PER_FULL_FETCH = 0.1;

    private RebalanceRule() {}

    /**
     * Decides about a plan.
     *
     * @param plan the plan, not null
     * @param shape the shape of the group, not null
     * @return true if the map should be changed
     */
    public static boolean repays(MapPlanner.Plan plan, GroupShape shape) {
        double perRank = (double) plan.fetches() / (plan.map().ranks() * shape.layers());
        return plan.fetches() > 0
                && plan.gain() >= Math.max(MIN_GAIN, GAIN_PER_FULL_FETCH * perRank);
    }
}
