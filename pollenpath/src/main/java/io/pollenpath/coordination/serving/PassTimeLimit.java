package io.pollenpath.coordination.serving;

import java.util.concurrent.TimeUnit;

/**
 * Limits the streams that one entry has on a service from the pauses between their events.
 *
 * <p>All engines of a rank group step together, so every entry sees the same pass time. Each entry
 * lowers its limit by a part when the pass time nears the longest pause that is on time, and raises
 * it by one stream when there is room; with a common signal the entries settle without exchange.
 */
public final class PassTimeLimit {

    /** The part of the longest on-time pause at which the limit falls. */
    static final double HIGH_WATER = 0.85;

    /** The part of the longest on-time pause below which the limit rises. */
    static final double LOW_WATER = 0.7;

    private static final double DECREASE = 0.9;
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final double GAP_WEIGHT = 0.1;
    private static final double MIN_LIMIT = 2;

    private double limit;
    private double meanGapMs;
    private long nextChangeNanos = Long.MIN_VALUE;

    /**
     * Creates a limit.
     *
     * @param firstLimit the streams allowed before any event was seen
     */
    public PassTimeLimit(double firstLimit) {
        limit = Math.max(MIN_LIMIT, firstLimit);
    }

    /**
     * Takes the pause between two events of a stream.
     *
     * @param gapMs the pause, in milliseconds
     * @param objectiveMs the longest pause that is on time, in milliseconds; 0 for none
     * @param inFlight the streams of this entry on the service
     * @param mostUseful the streams beyond which more would only wait in the servers' queues
     * @param nowNanos the present time
     */
    public void onGap(
            double gapMs, double objectiveMs, int inFlight, double mostUseful, long nowNanos) {
        if (objectiveMs <= 0) {
            return;
        }
        double capped = Math.min(gapMs, 2 * objectiveMs);
        meanGapMs = meanGapMs == 0 ? capped : meanGapMs + GAP_WEIGHT * (capped - meanGapMs);
        if (nowNanos < nextChangeNanos) {
            return;
        }
        if (meanGapMs > HIGH_WATER * objectiveMs) {
            limit = Math.max(MIN_LIMIT, Math.min(limit, inFlight) * DECREASE);
            nextChangeNanos = nowNanos + PERIOD_NANOS;
        } else if (meanGapMs < LOW_WATER * objectiveMs && inFlight >= limit - 1) {
            limit = Math.min(mostUseful, limit + 1);
            nextChangeNanos = nowNanos + PERIOD_NANOS;
        }
    }

    /**
     * Tells whether one more stream may be sent.
     *
     * @param inFlight the streams of this entry on the service
     * @return true below the limit
     */
    public boolean admits(int inFlight) {
        return inFlight < limit;
    }

    /**
     * Returns the limit.
     *
     * @return the streams allowed at the same time
     */
    public double limit() {
        return limit;
    }

    /**
     * Returns the mean pause between events.
     *
     * @return the pause, in milliseconds; 0 before any event
     */
    public double meanGapMs() {
        return meanGapMs;
    }
}
