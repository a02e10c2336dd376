package io.pollenpath.state;

/**
 * The settings of operators that apply to the whole deployment.
 *
 * @param skewWeight the weight of step-time skew against the cost of moving experts, 0 to 1
 * @param rebalanceIntervalMs the minimum time between two changes of the expert map of a group, in
 *     milliseconds, at least 1
 * @param movedBytesPerSecond the maximum rate at which expert weights are moved, in bytes per
 *     second, at least 0
 */
public record DeploymentPolicy(
        double skewWeight, int rebalanceIntervalMs, long movedBytesPerSecond) {

    /** Name of the single object of this kind. */
    public static final String NAME = "deployment";

    /** The policy that applies if operators have declared none. */
    public static final DeploymentPolicy DEFAULT =
            new DeploymentPolicy(0.5, 10_000, 1_000_000_000L);

    /** Checks the components. */
    public DeploymentPolicy {
        if (!(skewWeight >= 0 && skewWeight <= 1)) {
            throw new IllegalArgumentException(
                    "skewWeight is " + skewWeight + "; set it between 0 and 1");
        }
        if (rebalanceIntervalMs < 1) {
            throw new IllegalArgumentException(
                    "rebalanceIntervalMs is " + rebalanceIntervalMs + "; set it to at least 1");
        }
        if (movedBytesPerSecond < 0) {
            throw new IllegalArgumentException(
                    "movedBytesPerSecond is " + movedBytesPerSecond + "; set it to at least 0");
        }
    }
}
