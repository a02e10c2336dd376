package io.pollenpath.transport;

/**
 * The limits of an HTTP server.
 *
 * @param maxHeaderBytes the maximum size of the headers of a request, in bytes
 * @param maxBodyBytes the maximum size of the body of a request, in bytes
 * @param maxConnections the maximum number of open connections
 * @param idleTimeoutMs how long a connection without a request in progress may receive nothing
 *     before it is closed, in milliseconds
 * @param requestTimeoutMs the maximum time from the first to the last byte of a request, in
 *     milliseconds
 * @param maxPipelined the maximum number of pipelined requests of one connection that wait for an
 *     earlier answer
 * @param servesHalfClosed whether a caller that has half-closed its connection still gets its
 *     answers; otherwise the server closes the connection
 */
public record HttpLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxConnections,
        int idleTimeoutMs,
        int requestTimeoutMs,
        int maxPipelined,
        boolean servesHalfClosed) {

    /** Default limits for servers of every role. */
    public static final HttpLimits DEFAULT =
            new HttpLimits(16_384, 1_048_576, 4_096, 60_000, 10_000, 16, false);

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit is below 1
     */
    public HttpLimits {
        requirePositive("maxHeaderBytes", maxHeaderBytes);
        requirePositive("maxBodyBytes", maxBodyBytes);
        requirePositive("maxConnections", maxConnections);
        requirePositive("idleTimeoutMs", idleTimeoutMs);
        requirePositive("requestTimeoutMs", requestTimeoutMs);
        requirePositive("maxPipelined", maxPipelined);
    }

    /**
     * Returns these limits with another size of bodies.
     *
     * @param bytes the maximum size of a body, in bytes, at least 1
     * @return the limits
     */
    public HttpLimits withMaxBodyBytes(int bytes) {
        return new HttpLimits(
                maxHeaderBytes,
                bytes,
                maxConnections,
                idleTimeoutMs,
                requestTimeoutMs,
                maxPipelined,
                servesHalfClosed);
    }

    private static void requirePositive(String field, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " is " + value + "; set at least 1");
        }
    }
}
