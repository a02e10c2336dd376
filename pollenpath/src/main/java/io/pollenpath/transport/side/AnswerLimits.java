package io.pollenpath.transport.side;

/**
 * The limits of the answers that a side process keeps and sends.
 *
 * @param windowBytes the most bytes sent beyond the acknowledged ones, for readers that request no
 *     window
 * @param maxUnreadBytes the most unacknowledged bytes of one answer; above it reading from the
 *     backend server is paused
 * @param maxRetainedBytes the most bytes of all answers together
 * @param resumeWindowMs how long a run may have no reader, or a reader that acknowledges nothing,
 *     before it is abandoned, in milliseconds
 */
public record AnswerLimits(
        int windowBytes, int maxUnreadBytes, long maxRetainedBytes, int resumeWindowMs) {

    /** The default limits. */
    public static final AnswerLimits DEFAULT =
            new AnswerLimits(262_144, 1_048_576, 67_108_864, 10_000);

    /** Checks that all limits are at least 1. */
    public AnswerLimits {
        requirePositive("windowBytes", windowBytes);
        requirePositive("maxUnreadBytes", maxUnreadBytes);
        requirePositive("maxRetainedBytes", maxRetainedBytes);
        requirePositive("resumeWindowMs", resumeWindowMs);
    }

    private static void requirePositive(String field, long value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " is " + value + "; set at least 1");
        }
    }
}
