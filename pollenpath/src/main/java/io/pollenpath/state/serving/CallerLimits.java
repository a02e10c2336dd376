package io.pollenpath.state.serving;

/**
 * Bounds what callers may send.
 *
 * @param maxHeaderBytes the largest head of a request, in bytes
 * @param maxBodyBytes the largest body of a request, in bytes
 * @param headerTimeoutMs the longest time from a request's first byte to the end of its head, in
 *     milliseconds
 * @param idleTimeoutMs the longest time that a connection may be idle, in milliseconds
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The bounds before a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 60_000);

    /** Checks the components. */
    public CallerLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException(
                    "a limit of callers is not positive; set it above 0");
        }
    }
}
