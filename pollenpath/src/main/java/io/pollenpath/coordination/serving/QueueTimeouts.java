package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.Route;
import java.util.random.RandomGenerator;

/**
 * Decides how long a request may wait for a free server, and when a refused caller should return.
 */
public final class QueueTimeouts {

    /** The part of the objective that may pass in the queue; the rest is for the server. */
    static final double ON_TIME_PART = 0.4;

    /** The part of the time left that may pass in the queue once the answer will be late. */
    static final double LATE_PART = 0.2;

    /** The part of the time left that callers wait at most before they return. */
    static final double RETURN_PART = 1.0 / 3;

    /** How long a service sends nothing before its queue says nothing on when it is free. */
    static final long STALL_MS = 700;

    private static final double MIN_RETURN_MS = 50;

    /** When callers return to a service that stands still; a group takes seconds to form anew. */
    private static final double STALLED_RETURN_MS = 1_600;

    private QueueTimeouts() {}

    /**
     * Returns how long a request may wait and still be answered on time.
     *
     * @param route the route, not null
     * @return the time, in milliseconds
     */
    public static long onTimeQueueMs(Route route) {
        return (long) (ON_TIME_PART * route.objectiveMs());
    }

    /**
     * Returns how long a request may wait before it is refused.
     *
     * @param timeLeftMs the time until the caller gives up, in milliseconds
     * @return the time, in milliseconds
     */
    public static long maxQueueMs(long timeLeftMs) {
        return Math.max(0, (long) (LATE_PART * timeLeftMs));
    }

    /**
     * Returns when a refused caller should come back.
     *
     * @param expectedWaitMs the time until the queue has room at the present pace, in milliseconds
     * @param silentMs how long no server of the service has sent anything, in milliseconds
     * @param timeLeftMs the time until the caller gives up, in milliseconds
     * @param random spreads callers, not null
     * @return the time, in milliseconds; within the part of its time that a caller waits
     */
    public static long retryAfterMs(
            double expectedWaitMs, long silentMs, long timeLeftMs, RandomGenerator random) {
        double least = silentMs >= STALL_MS ? STALLED_RETURN_MS : MIN_RETURN_MS;
        double base = Math.max(least, expectedWaitMs);
        double spread = base * (1 + random.nextDouble());
        return (long) Math.max(0, Math.min(spread, timeLeftMs * RETURN_PART));
    }
}
