package io.pollenpath.coordination.retry;

import java.util.random.RandomGenerator;

/**
 * Computes how long refused callers wait before they retry, with jitter against synchronized
 * retries.
 */
public final class RetryAfter {

    /** Minimum delay before jitter, in milliseconds. */
    public static final int MIN_MS = 200;

    /** Maximum delay, in milliseconds. */
    public static final int MAX_MS = 60_000;

    private RetryAfter() {}

    /**
     * Returns a random delay, uniformly distributed between the estimated wait and twice that wait,
     * within {@link #MIN_MS} and {@link #MAX_MS}.
     *
     * @param waitMs the estimated time until capacity is free, in milliseconds
     * @param random the random source, not null
     * @return the delay before the retry, in milliseconds
     */
    public static int jitteredMs(double waitMs, RandomGenerator random) {
        double baseMs = Math.max(MIN_MS, waitMs);
        return (int) Math.min(MAX_MS, baseMs * (1 + random.nextDouble()));
    }
}
