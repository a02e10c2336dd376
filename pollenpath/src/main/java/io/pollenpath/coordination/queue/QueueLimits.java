package io.pollenpath.coordination.queue;

/**
 * The limits of the queue and of the slots of one backend server.
 *
 * @param maxQueued the maximum number of queued requests, at least 1
 * @param maxQueuedPerCustomer the maximum number of queued requests per customer, at least 1
 * @param maxRunning the maximum number of concurrently running requests, at least 1
 * @param urgentSlots the slots reserved for urgent requests, below maxRunning
 * @param creditSlots the slots reserved for urgent requests of customers within their share, below
 *     maxRunning
 * @param creditTokens the maximum credit that a customer of weight 1 keeps for a burst, in tokens
 */
public record QueueLimits(
        int maxQueued,
        int maxQueuedPerCustomer,
        int maxRunning,
        int urgentSlots,
        int creditSlots,
        double creditTokens) {

    private static final int URGENT_SLOTS_DIVISOR = 8;
    private static final int CREDIT_SLOTS_DIVISOR = 2;
    private static final double DEFAULT_CREDIT_TOKENS = 500_000;
    private static final int CUSTOMER_QUEUE_DIVISOR = 2;

    /** Checks the components. */
    public QueueLimits {
        requirePositive("maxQueued", maxQueued);
        requirePositive("maxQueuedPerCustomer", maxQueuedPerCustomer);
        requirePositive("maxRunning", maxRunning);
        requireBelow("urgentSlots", urgentSlots, maxRunning);
        requireBelow("creditSlots", creditSlots, maxRunning);
        if (!(creditTokens >= 0)) {
            throw new IllegalArgumentException(
                    "creditTokens is " + creditTokens + "; set at least 0");
        }
    }

    /**
     * Derives the limits of a backend server from the size of its queue and its slots.
     *
     * @param maxQueued the maximum number of queued requests, at least 1
     * @param maxRunning the maximum number of concurrently running requests, at least 1
     * @return the limits: at most half of the queue per customer, an eighth of the slots reserved
     *     for urgent requests and half for urgent requests of customers within their share
     */
    public static QueueLimits of(int maxQueued, int maxRunning) {
        int perCustomer = Math.max(1, maxQueued / CUSTOMER_QUEUE_DIVISOR);
        return new QueueLimits(
                maxQueued,
                perCustomer,
                maxRunning,
                maxRunning / URGENT_SLOTS_DIVISOR,
                maxRunning / CREDIT_SLOTS_DIVISOR,
                DEFAULT_CREDIT_TOKENS);
    }

    private static void requireBelow(String field, int value, int maxRunning) {
        if (value < 0 || value >= maxRunning) {
            throw new IllegalArgumentException(
                    field + " is " + value + "; set it between 0 and maxRunning - 1");
        }
    }

    private static void requirePositive(String field, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " is " + value + "; set at least 1");
        }
    }
}
