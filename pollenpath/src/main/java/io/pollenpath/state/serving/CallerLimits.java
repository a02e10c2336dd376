package io.pollenpath.state.serving;

/**
 * The limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum size of the request line and headers, in bytes, at least 1
 * @param maxBodyBytes the maximum size of a request body, in bytes, at least 0
 * @param headerTimeoutMs the maximum time from the first byte of a request to the end of its
 *     headers, in milliseconds, at least 1
 * @param idleTimeoutMs the maximum time that a connection may be idle, in milliseconds, at least 1
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** The limits that apply until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 60_000);

    /** Checks the components. */
    public CallerLimits {
        if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException(
                    "maxBodyBytes must be at least 0 and the other caller limits at least 1");
        }
    }
}
