package io.pollenpath.coordination.serving;

/**
 * Adaptive limit on the concurrent streams of one entry on a service, computed from the gaps
 * between the events of its streams.
 *
 * <p>All engines of a rank group step together, so every entry sees the same step time. The part
 * above the time of an empty step grows with the streams of all entries. Each entry therefore
 * scales its number of streams by the ratio of the allowed to the current excess over an empty
 * step. Because all entries see the same signal, they converge without communication. A minimum
 * number of streams lets an entry that has few of them grow.
 */
public final class AdaptiveConcurrencyLimit {

    /** Target of the mean gap, as a fraction of the longest on-time gap. */
    static final double TARGET_FRACTION = 0.7;

    /** Streams that an entry may always have, as a fraction of an equal share of all slots. */
    static final double MIN_FRACTION = 0.25;

    private static final double GAP_WEIGHT = 0.08;
    private static final double MAX_GAP_PER_OBJECTIVE = 3;
    private static final double MIN_EXCESS_MS = 1;

    private final double emptyStepMs;
    private double meanGapMs;
    private double limit = Double.POSITIVE_INFINITY;

    /**
     * Creates a limit that admits all streams until the first gap is recorded.
     *
     * @param emptyStepMs the time of a step without streams, in milliseconds
     */
    public AdaptiveConcurrencyLimit(double emptyStepMs) {
        this.emptyStepMs = emptyStepMs;
    }

    /**
     * Records the gap between two events of a stream and updates the limit.
     *
     * @param gapMs the gap, in milliseconds
     * @param objectiveMs the longest gap that is on time, in milliseconds; 0 if the route has no
     *     such objective, then the gap is ignored
     * @param inFlight the streams of this entry on the service
     */
    public void onGap(double gapMs, double objectiveMs, int inFlight) {
        if (objectiveMs <= 0) {
            return;
        }
        double cappedMs = Math.min(gapMs, MAX_GAP_PER_OBJECTIVE * objectiveMs);
        meanGapMs = meanGapMs == 0 ? cappedMs : meanGapMs + GAP_WEIGHT * (cappedMs - meanGapMs);
        double targetExcessMs =
                Math.max(MIN_EXCESS_MS, TARGET_FRACTION * objectiveMs - emptyStepMs);
        double excessMs = Math.max(MIN_EXCESS_MS, meanGapMs - emptyStepMs);
        limit = inFlight * targetExcessMs / excessMs;
    }

    /**
     * Returns whether one more stream may be sent.
     *
     * @param inFlight the streams of this entry on the service
     * @param equalShare an equal share of all slots among the entries
     * @return true below the limit, and always below the minimum
     */
    public boolean admits(int inFlight, double equalShare) {
        return inFlight < Math.max(limit, MIN_FRACTION * equalShare);
    }

    /**
     * Returns the limit that follows from the gaps, without the minimum.
     *
     * @return the number of streams; infinite before the first gap
     */
    public double limit() {
        return limit;
    }

    /**
     * Returns the moving average of the gap between events.
     *
     * @return the gap, in milliseconds; 0 before the first one
     */
    public double meanGapMs() {
        return meanGapMs;
    }
}
