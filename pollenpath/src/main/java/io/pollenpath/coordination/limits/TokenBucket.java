package io.pollenpath.coordination.limits;

/** Token bucket that admits requests at a sustained rate with bursts. Not thread-safe. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private double tokens;
    private long lastRefillNanos;

    /**
     * Creates a bucket.
     *
     * @param initialTokens the initial number of tokens, not negative
     * @param nowNanos the current time, in nanoseconds
     */
    public TokenBucket(double initialTokens, long nowNanos) {
        tokens = initialTokens;
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
        long waitNanos = waitNanos(ratePerSecond, burst, nowNanos);
        if (waitNanos == 0) {
            tokens--;
        }
        return waitNanos;
    }

    /**
     * Returns how long it takes until a token is available.
     *
     * @param ratePerSecond the tokens added per second, positive
     * @param burst the capacity, in tokens, at least 1
     * @param nowNanos the current time, in nanoseconds
     * @return the time, in nanoseconds; 0 if a token is available
     */
    public long waitNanos(double ratePerSecond, double burst, long nowNanos) {
        double refill = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * ratePerSecond;
        tokens = Math.min(burst, tokens + Math.max(0, refill));
        lastRefillNanos = nowNanos;
        return tokens >= 1
                ? 0
                : Math.max(1, (long) ((1 - tokens) / ratePerSecond * NANOS_PER_SECOND));
    }
}
