package io.pollenpath.coordination.experts;

/** Decides the next placement of one layer. */
public interface RebalancePolicy {

    /**
     * Returns the placement to use next.
     *
     * @param current the active placement, not null
     * @param forecast the expected load of each expert, adding up to the number of ranks, not null
     * @param horizon the number of planning intervals for which the forecast is expected to stay
     *     valid, positive
     * @return the next placement; {@code current} itself if nothing moves
     */
    LayerPlacement plan(LayerPlacement current, double[] forecast, double horizon);

    /**
     * Returns whether the split of load among replicas follows the forecast.
     *
     * @return false if all replicas of an expert get the same share
     */
    default boolean adjustsShares() {
        return true;
    }
}
