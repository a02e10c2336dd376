package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/** The map changes that one leader has started: their versions, times and estimated cost. */
final class OwnChanges {

    /**
     * Low bits of a map version that number the changes of one leader; its fencing token is in the
     * bits above, so the versions of a later leader are higher.
     */
    private static final int VERSION_BITS = 20;

    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final long firstVersion;
    private final ChangeTimes times;
    private long started;
    private long lastStartNanos;
    private int lastFetches;
    private long shiftsAtLastStart;

    /**
     * Creates the history of a leader that has started no change.
     *
     * @param token the fencing token of the leader
     * @param fetchMs the time in which a rank fetches one expert, in milliseconds
     */
    OwnChanges(long token, double fetchMs) {
        firstVersion = token << VERSION_BITS;
        times = new ChangeTimes(fetchMs);
    }

    /** Returns the version below those of all changes of this leader. */
    long firstVersion() {
        return firstVersion;
    }

    /**
     * Records that a change starts.
     *
     * @param plan the plan that it carries out
     * @param shifts the shifts of the demand that the plan follows
     * @param nowNanos the current time
     * @return the version of its map
     */
    long start(MapPlanner.Plan plan, long shifts, long nowNanos) {
        started++;
        lastStartNanos = nowNanos;
        lastFetches = plan.maxFetches();
        shiftsAtLastStart = shifts;
        return firstVersion + started;
    }

    /** Records that the last change is done. */
    void onDone(long nowNanos) {
        times.onChange((nowNanos - lastStartNanos) / NANOS_PER_MS, lastFetches);
    }

    /** Returns whether the demand has shifted since the last change started. */
    boolean isOutdated(long shifts) {
        return shifts > shiftsAtLastStart;
    }

    /** Returns how long the next change takes. */
    ChangeCost cost() {
        return times.cost();
    }
}
