package io.pollenpath.coordination.limits;

import io.pollenpath.state.Contract;

/** Enforces one customer's rate and concurrency limits at one entry. Thread-safe. */
public final class CustomerLimiter {

    private static final double NANOS_PER_MS = 1e6;
    private static final double CONCURRENCY_WAIT_MS = 1_000;

    /**
     * Minimum burst of an entry that has a small fraction of the limits, in requests. With a burst
     * of 1, randomly spaced requests would leave part of the rate unused.
     */
    private static final double MIN_BURST = 2;

    private TokenBucket bucket;
    private int concurrent;

    /**
     * Admits or refuses a request. An admitted request counts as concurrent until {@link #release}.
     *
     * @param contract the effective contract, not null
     * @param fraction the fraction of the limits that this entry may use, above 0 and at most 1
     * @param nowNanos the current time, in nanoseconds
     * @return the decision
     */
    public synchronized LimitDecision admit(Contract contract, double fraction, long nowNanos) {
        if (concurrent >= Math.max(1, Math.ceil(contract.maxConcurrent() * fraction))) {
            return new LimitDecision(false, "too_many_concurrent", CONCURRENCY_WAIT_MS);
        }
        double minBurst = Math.min(contract.burst(), MIN_BURST);
        double burst = Math.max(minBurst, contract.burst() * fraction);
        if (bucket == null) {
            bucket = new TokenBucket(burst, nowNanos);
        }
        long waitNanos = bucket.tryTake(contract.requestsPerSecond() * fraction, burst, nowNanos);
        if (waitNanos > 0) {
            return new LimitDecision(false, "rate_exceeded", waitNanos / NANOS_PER_MS);
        }
        concurrent++;
        return LimitDecision.ADMITTED;
    }

    /** Records that an admitted request has ended. */
    public synchronized void release() {
        concurrent = Math.max(0, concurrent - 1);
    }
}
