package io.pollenpath.coordination.experts;

/** Decides the next placement of one layer. */
public interface RebalancePolicy {

    /**
     * Decides the placement for the time ahead.
     *
     * @param current the placement in force, not null
     * @param forecast the expected load of each expert, adding up to the number of ranks, not null
     * @param persistence how many planning intervals the forecast is expected to hold, positive
     * @return the next placement; {@code current} itself to move nothing
     */
    LayerPlacement plan(LayerPlacement current, double[] forecast, double persistence);

    /**
     * Tells whether the shares of replicas follow the forecast.
     *
     * @return false if every replica of an expert takes the same share
     */
    default boolean adjustsShares() {
        return true;
    }
}
