package io.pollenpath.coordination;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** The schedule of listings by a process that does not watch: the first, polls and repairs. */
final class ListingSchedule {

    private static final long MAX_FIRST_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MEAN_POLL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long REPAIR_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(5);

    private final RandomGenerator random;
    private final long firstDueNanos;
    private boolean firstDone;
    private long nextPollNanos;
    private long nextRepairNanos;

    ListingSchedule(RandomGenerator random, long nowNanos) {
        this.random = random;
        firstDueNanos = nowNanos + random.nextLong(MAX_FIRST_DELAY_NANOS);
        nextPollNanos = nowNanos + random.nextLong(MEAN_POLL_INTERVAL_NANOS);
        nextRepairNanos = nowNanos;
    }

    boolean isFirstDone() {
        return firstDone;
    }

    /**
     * Returns whether the first listing is due. The listing is skipped if a peer has delivered the
     * configuration earlier.
     */
    boolean isFirstDue(boolean deliveredByPeer, long nowNanos) {
        boolean due = nowNanos - firstDueNanos >= 0;
        firstDone = deliveredByPeer || due;
        return due && !deliveredByPeer;
    }

    /** Returns whether a poll is due and, if so, schedules the next one. */
    boolean isPollDue(long nowNanos) {
        if (nowNanos - nextPollNanos < 0) {
            return false;
        }
        nextPollNanos =
                nowNanos + MEAN_POLL_INTERVAL_NANOS / 2 + random.nextLong(MEAN_POLL_INTERVAL_NANOS);
        return true;
    }

    /** Returns whether a repair is allowed and, if so, starts the interval until the next one. */
    boolean isRepairAllowed(long nowNanos) {
        if (nowNanos - nextRepairNanos < 0) {
            return false;
        }
        nextRepairNanos = nowNanos + REPAIR_INTERVAL_NANOS;
        return true;
    }
}
