package io.pollenpath.platform;

import java.util.concurrent.TimeUnit;

/** Engines that work together: when one ends, all stall and then turn work away for a while. */
final class EngineGroup {

    /** The time for which work stalls after an end, in milliseconds. */
    static final long STALL_MS = 1_500;

    private static final long DOWN_MS = 3_500;

    private long latestEndNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(2 * DOWN_MS);
    private int epoch;

    synchronized void onEnd() {
        latestEndNanos = System.nanoTime();
        epoch++;
    }

    /** Returns how often the group has ended. */
    synchronized int epoch() {
        return epoch;
    }

    synchronized boolean isDown() {
        return sinceEndMs() < DOWN_MS;
    }

    /** Returns for how long work still stalls, in milliseconds. */
    synchronized long stallLeftMs() {
        return Math.max(0, STALL_MS - sinceEndMs());
    }

    private long sinceEndMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - latestEndNanos);
    }
}
