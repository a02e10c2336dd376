package io.pollenpath.coordination.limits;

/** Token bucket that admits requests at a sustained rate with bursts. Not thread-safe. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private long lastRefillNanos;

    /**
     * Creates a full bucket.
     *
     * @param burst the initial number of tokens, at least 1
     * @param nowNanos the current time, in nanoseconds
     */
    public TokenBucket(double burst, long nowNanos) {
        tokens = burst;
        lastRefillNanos = nowNanos;
    }

    /**
     * Takes a token if one is available.
     *
     * @param ratePerSecond the tokens added per second, positive
     * @param burst the capacity, in tokens, at least 1
     * @param nowNanos the current time, in nanoseconds
     * @return 0 if a token was taken, otherwise the nanoseconds until one is available
     */
    public long tryTake(double ratePerSecond, double burst, long nowNanos) {
        double refill = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * ratePerSecond;
        tokens = Math.min(burst, tokens + Math.max(0, refill));
        lastRefillNanos = nowNanos;
        if (tokens >= 1) {
            tokens--;
            return 0;
        }
        return Math.max(1, (long) ((1 - tokens) / ratePerSecond * NANOS_PER_SECOND));
    }
}
