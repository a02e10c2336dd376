package io.pollenpath.coordination.group;

import io.pollenpath.state.serving.GroupShape;

/** Decides whether the better balance of a planned map outweighs its fetches. */
public final class RebalanceRule {

    /** Minimum reduction of the most loaded rank's load, in multiples of the mean. */
    static final double MIN_GAIN = 0.12;

    /**
     * Reduction required for each expert that a rank fetches per set of layers on average, in
     * multiples of the mean.
     */
    static final double GAIN_PER_FULL_FETCH = 0.1;

    private RebalanceRule() {}

    /**
     * Returns whether the group should switch to a planned map.
     *
     * @param plan the plan, not null
     * @param shape the shape of the group, not null
     * @return true if the reduction of the load is worth the fetches
     */
    public static boolean isWorthwhile(MapPlanner.Plan plan, GroupShape shape) {
        double fetchesPerRank = (double) plan.fetches() / (plan.map().ranks() * shape.layers());
        return plan.gain() >= Math.max(MIN_GAIN, GAIN_PER_FULL_FETCH * fetchesPerRank);
    }
}
