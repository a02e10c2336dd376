package io.pollenpath.coordination.group;

/** Estimates the time that a map change takes from the times of the changes so far. */
final class ChangeTimes {

    /** Time of a change besides the fetches before the first one has ended, in milliseconds. */
    static final double INITIAL_OVERHEAD_MS = 250;

    private static final double SMOOTHING_WEIGHT = 0.3;

    private final double fetchMs;
    private double overheadMs = INITIAL_OVERHEAD_MS;

    /**
     * Creates an estimate without changes.
     *
     * @param fetchMs the time in which a rank fetches one expert, in milliseconds
     */
    ChangeTimes(double fetchMs) {
        this.fetchMs = fetchMs;
    }

    /**
     * Records a change that has succeeded.
     *
     * @param tookMs the time from the plan until the ranks switched, in milliseconds
     * @param fetchesPerRank the fetches of the rank that had most of them
     */
    void onChange(double tookMs, int fetchesPerRank) {
        double sampleMs = Math.max(0, tookMs - fetchMs * fetchesPerRank);
        overheadMs += SMOOTHING_WEIGHT * (sampleMs - overheadMs);
    }

    /** Returns how long a change takes. */
    ChangeCost cost() {
        return new ChangeCost(overheadMs, fetchMs);
    }
}
