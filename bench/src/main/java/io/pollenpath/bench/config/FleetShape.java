package io.pollenpath.bench.config;

import io.pollenpath.coordination.ConfigAgentOptions;
import io.pollenpath.coordination.MergeRule;

/**
 * The size of a simulated fleet, how configuration spreads in it, and its injected faults.
 *
 * @param agents the number of processes
 * @param zones the number of zones
 * @param watchersPerZone the number of processes of a zone that watch the store
 * @param linked whether processes pass configuration on to their peers
 * @param messageLoss the fraction of messages that is lost, 0 to 1
 * @param rule the rule that decides whether an entry replaces another
 */
public record FleetShape(
        int agents,
        int zones,
        int watchersPerZone,
        boolean linked,
        double messageLoss,
        MergeRule rule) {

    private static final int DEFAULT_ZONES = 8;
    private static final double DEFAULT_MESSAGE_LOSS = 0.01;

    /**
     * Creates the shape with the default configuration exchange, 8 zones and 1 % message loss.
     *
     * @param agents the number of processes
     * @return the shape
     */
    public static FleetShape defaults(int agents) {
        return new FleetShape(
                agents,
                DEFAULT_ZONES,
                ConfigAgentOptions.DEFAULT_WATCHERS_PER_ZONE,
                true,
                DEFAULT_MESSAGE_LOSS,
                MergeRule.MAXIMUM_VERSION);
    }

    /**
     * Creates the baseline for comparison, in which every process watches the store and none passes
     * configuration on.
     *
     * @param agents the number of processes
     * @return the shape
     */
    public static FleetShape everyAgentWatches(int agents) {
        return new FleetShape(agents, DEFAULT_ZONES, agents, false, 0, MergeRule.MAXIMUM_VERSION);
    }
}
