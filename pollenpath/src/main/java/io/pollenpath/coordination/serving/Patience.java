package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.Route;
import java.util.random.RandomGenerator;

/**
 * Decides how long a request may wait for a free server, and when a refused caller should return.
 */
public final class Patience {

    /** The part of the objective that may pass in the queue; the rest is for the server. */
    static final double QUEUE_PART = 0.4;

    /** The part of the time left that callers wait at most before they return. */
    static final double RETURN_PART = 1.0 / 3;

    private static final double MIN_RETURN_MS = 50;

    private Patience() {}

    /**
     * Returns how long a request may wait before it is refused.
     *
     * @param route the route, not null
     * @param timeLeftMs the time until the caller gives up, in milliseconds
     * @return the time, in milliseconds
     */
    public static long maxWaitMs(Route route, long timeLeftMs) {
        long part = (long) (QUEUE_PART * route.objectiveMs());
        return Math.max(0, Math.min(part, timeLeftMs / 2));
    }

    /**
     * Returns when a refused caller should come back.
     *
     * @param expectedWaitMs the time until the queue has room, in milliseconds
     * @param timeLeftMs the time until the caller gives up, in milliseconds
     * @param random spreads callers, not null
     * @return the time, in milliseconds; within the part of its time that a caller waits
     */
    public static long returnAfterMs(
            double expectedWaitMs, long timeLeftMs, RandomGenerator random) {
        double base = Math.max(MIN_RETURN_MS, expectedWaitMs);
        double spread = base * (1 + random.nextDouble());
        return (long) Math.max(0, Math.min(spread, timeLeftMs * RETURN_PART));
    }
}
