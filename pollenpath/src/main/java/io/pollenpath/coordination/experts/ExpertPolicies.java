package io.pollenpath.coordination.experts;

/** Creates the rebalancing policies and popularity estimators that deployments use. */
public final class ExpertPolicies {

    private static final double LOW_SKEW_MOVE_COST = 0.0005;
    private static final double FEW_MOVES_MOVE_COST = 0.02;
    private static final double LOW_SKEW_TOLERANCE = 0.005;
    private static final double FEW_MOVES_TOLERANCE = 0.05;
    private static final int MAX_MOVES = 24;
    private static final double FAST_WEIGHT = 0.8;
    private static final double SLOW_WEIGHT = 0.1;
    private static final int EXPERTS_PER_SPARE_SLOT = 16;

    private ExpertPolicies() {}

    /**
     * Creates the policy for deployments in which slow steps cost more than moving experts.
     *
     * @return the policy
     */
    public static RebalancePolicy lowSkew() {
        return new GreedyPolicy(LOW_SKEW_MOVE_COST, LOW_SKEW_TOLERANCE, MAX_MOVES);
    }

    /**
     * Creates the policy for deployments in which moving experts costs more than slow steps.
     *
     * @return the policy
     */
    public static RebalancePolicy fewMoves() {
        return new GreedyPolicy(FEW_MOVES_MOVE_COST, FEW_MOVES_TOLERANCE, MAX_MOVES);
    }

    /**
     * Creates an estimator of the popularity of a layer's experts.
     *
     * @param experts the number of experts, at least 1
     * @return the estimator, without reports
     */
    public static PopularityEstimator estimator(int experts) {
        return new PopularityEstimator(experts, FAST_WEIGHT, SLOW_WEIGHT);
    }

    /**
     * Returns the slots that each rank needs for an even split of the experts and some replicas.
     *
     * @param ranks the number of ranks, at least 1
     * @param experts the number of experts, at least 1
     * @return the number of slots
     */
    public static int slotsPerRank(int ranks, int experts) {
        int expertsPerRank = (experts + ranks - 1) / ranks;
        return expertsPerRank + Math.max(2, expertsPerRank / EXPERTS_PER_SPARE_SLOT);
    }
}
