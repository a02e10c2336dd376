package io.pollenpath.transport.serving;

import java.util.Objects;

/**
 * Settings of the deployment for forwarding requests.
 *
 * @param entry the name of this entry
 * @param zone the availability zone of this process
 * @param startNanos the time at which this process started, in nanoseconds
 * @param retryRatio the resends allowed per request, on average
 * @param retryAllowance the additional resends allowed in a window, over all entries
 * @param retryWindowMs the length of the window, in milliseconds, above 0
 * @param silenceMs the longest time without bytes from a server before a stream on it counts as
 *     stalled, in milliseconds, above 0
 * @param bufferBytes the memory for all requests and answers in progress, in bytes, above 0
 */
public record GatewaySettings(
        String entry,
        String zone,
        long startNanos,
        double retryRatio,
        double retryAllowance,
        long retryWindowMs,
        long silenceMs,
        long bufferBytes) {

    /** Checks the components. */
    public GatewaySettings {
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(zone, "zone");
        if (retryWindowMs < 1 || silenceMs < 1 || bufferBytes < 1) {
            throw new IllegalArgumentException(
                    "set retryWindowMs, silenceMs and bufferBytes above 0");
        }
    }
}
