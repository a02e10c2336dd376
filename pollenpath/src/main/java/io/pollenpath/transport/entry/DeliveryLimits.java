package io.pollenpath.transport.entry;

/**
 * The limits for sending answers to callers.
 *
 * @param windowBytes the most bytes that a side process sends beyond the acknowledged ones
 * @param maxWholeBytes the largest answer that is not streamed, in bytes
 * @param reconnectMs how long to wait for a lost link to a side process to be restored before the
 *     attempt fails, in milliseconds
 * @param stallMs how long a caller may read nothing while an answer is pending before its
 *     connection is closed, in milliseconds
 */
public record DeliveryLimits(int windowBytes, int maxWholeBytes, int reconnectMs, int stallMs) {

    /** The default limits. */
    public static final DeliveryLimits DEFAULT =
            new DeliveryLimits(262_144, 16_777_216, 2_000, 30_000);

    /** Checks that all limits are at least 1. */
    public DeliveryLimits {
        requirePositive("windowBytes", windowBytes);
        requirePositive("maxWholeBytes", maxWholeBytes);
        requirePositive("reconnectMs", reconnectMs);
        requirePositive("stallMs", stallMs);
    }

    private static void requirePositive(String field, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " is " + value + "; set at least 1");
        }
    }
}
