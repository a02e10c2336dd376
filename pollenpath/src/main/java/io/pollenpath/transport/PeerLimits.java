package io.pollenpath.transport;

/**
 * The limits of the links between the processes of the system.
 *
 * @param maxFrameBytes the maximum size of a frame, in bytes
 * @param maxLinks the maximum number of open links of a server
 * @param silenceMs how long a client waits without receiving anything from a peer that sends
 *     periodically before it closes the link, in milliseconds
 */
public record PeerLimits(int maxFrameBytes, int maxLinks, int silenceMs) {

    /** Default limits. */
    public static final PeerLimits DEFAULT = new PeerLimits(8_388_608, 2_048, 5_000);

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit is below 1
     */
    public PeerLimits {
        requirePositive("maxFrameBytes", maxFrameBytes);
        requirePositive("maxLinks", maxLinks);
        requirePositive("silenceMs", silenceMs);
    }

    private static void requirePositive(String field, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " is " + value + "; set at least 1");
        }
    }
}
