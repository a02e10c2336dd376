package io.pollenpath.transport.serving;

import java.util.Objects;

/**
 * Holds the bounds of the deployment that forwarding keeps.
 *
 * @param zone the availability zone of this process
 * @param retryRatio the repeated sends allowed for each request
 * @param retryAllowance the repeated sends allowed beyond that in a window, over all entries
 * @param retryWindowMs the length of the window, in milliseconds
 * @param silenceMs how long a server may send nothing in the middle of its work, in milliseconds
 */
public record GatewaySettings(
        String zone, double retryRatio, double retryAllowance, long retryWindowMs, long silenceMs) {

    /** Checks the components. */
    public GatewaySettings {
        Objects.requireNonNull(zone, "zone");
        if (retryWindowMs < 1 || silenceMs < 1) {
            throw new IllegalArgumentException("set retryWindowMs and silenceMs above 0");
        }
    }
}
