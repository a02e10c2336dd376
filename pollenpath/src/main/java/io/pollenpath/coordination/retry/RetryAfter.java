package io.pollenpath.coordination.retry;

import java.util.random.RandomGenerator;

/** Computes when refused callers come back, spread so that they do not return all at once. */
public final class RetryAfter {

    /** Shortest time, in milliseconds. */
    public static final int MIN_MS = 200;

    /** Longest time, in milliseconds. */
    public static final int MAX_MS = 60_000;

    private RetryAfter() {}

    /**
     * Spreads callers evenly from the estimated time until there is room to twice that time.
     *
     * @param waitMs the estimated time until there is room, in milliseconds
     * @param random the random source, not null
     * @return the time to come back, in milliseconds
     */
    public static int jitteredMs(double waitMs, RandomGenerator random) {
        double base = Math.max(MIN_MS, waitMs);
        return (int) Math.min(MAX_MS, base * (1 + random.nextDouble()));
    }
}
