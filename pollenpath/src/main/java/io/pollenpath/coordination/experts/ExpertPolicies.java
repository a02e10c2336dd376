package io.pollenpath.coordination.experts;

/** Creates the policies and estimators that deployments use. */
public final class ExpertPolicies {

    private static final double SKEW_PRICE = 0.0005;
    private static final double MOVING_PRICE = 0.02;
    private static final double SKEW_TOLERANCE = 0.005;
    private static final double MOVING_TOLERANCE = 0.05;
    private static final int MAX_MOVES = 24;
    private static final double FAST_WEIGHT = 0.8;
    private static final double SLOW_WEIGHT = 0.1;
    private static final int EXPERTS_PER_SPARE_SLOT = 16;

    private ExpertPolicies() {}

    /**
     * Creates the policy for deployments in which a slow step weighs most.
     *
     * @return the policy
     */
    public static RebalancePolicy lowSkew() {
        return new GreedyPolicy(SKEW_PRICE, SKEW_TOLERANCE, MAX_MOVES);
    }

    /**
     * Creates the policy for deployments in which moving experts weighs most.
     *
     * @return the policy
     */
    public static RebalancePolicy fewMoves() {
        return new GreedyPolicy(MOVING_PRICE, MOVING_TOLERANCE, MAX_MOVES);
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
     * Returns the slots that each rank needs: its part of the experts and some spare ones.
     *
     * @param ranks the number of ranks, at least 1
     * @param experts the number of experts, at least 1
     * @return the number of slots
     */
    public static int slotsPerRank(int ranks, int experts) {
        int part = (experts + ranks - 1) / ranks;
        return part + Math.max(2, part / EXPERTS_PER_SPARE_SLOT);
    }
}
