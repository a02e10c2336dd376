package io.pollenpath.transport;

import java.util.concurrent.TimeUnit;

/**
 * Whether a server has lately written bytes that belong to no call. Calls name themselves nowhere:
 * only its place on the connection tells the call of an answer. A connection to such a server
 * carries one call, so that no answer to an earlier one can take the place of a later answer.
 */
final class ServerTrouble {

    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private volatile boolean seen;
    private volatile long latestNanos;

    /**
     * Records bytes that belong to no call.
     *
     * @param nowNanos the time at which they came
     */
    void record(long nowNanos) {
        latestNanos = nowNanos;
        seen = true;
    }

    /**
     * Returns whether bytes that belong to no call came within the last 30 seconds.
     *
     * @param nowNanos the current time
     */
    boolean isRecent(long nowNanos) {
        return seen && nowNanos - latestNanos < RECENT_NANOS;
    }
}
