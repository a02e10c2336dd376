package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.Route;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides during a planned stop whether a request that is not with a server yet can be expected to
 * end before the process does. One that is cut may have run; one that is refused has not. Used by
 * one thread.
 */
public final class StopPolicy {

    /** The number of latest answers of a route whose longest time is expected of the next one. */
    static final int REMEMBERED_ANSWERS = 64;

    /** The part of its timeout that a request is expected to take on a route without answers. */
    private static final double UNKNOWN_FRACTION = 0.5;

    private static final long MARGIN_MS = 200;

    private final Map<String, RecentTimes> timesByRoute = new HashMap<>();
    private boolean stopping;
    private long endNanos;

    /** The times of the latest answers of a route. */
    private static final class RecentTimes {
        private final long[] timesMs = new long[REMEMBERED_ANSWERS];
        private int next;

        private void add(long timeMs) {
            timesMs[next] = timeMs;
            next = (next + 1) % REMEMBERED_ANSWERS;
        }

        private long longestMs() {
            long longestMs = 0;
            for (long timeMs : timesMs) {
                longestMs = Math.max(longestMs, timeMs);
            }
            return longestMs;
        }
    }

    /**
     * Learns how long a server took for a whole answer.
     *
     * @param route the route of the request, not null
     * @param timeMs the time from the send to the end of the answer, in milliseconds
     */
    public void onAnswered(Route route, long timeMs) {
        timesByRoute.computeIfAbsent(route.name(), name -> new RecentTimes()).add(timeMs);
    }

    /**
     * Hears that the process stops.
     *
     * @param newEndNanos the time at which it cuts what is still in progress, in nanoseconds
     */
    public void onStop(long newEndNanos) {
        stopping = true;
        endNanos = newEndNanos;
    }

    /**
     * Returns whether the process ends before a request does that is sent now.
     *
     * @param route the route of the request, not null
     * @param nowNanos the current time, in nanoseconds
     * @return false if the request can be expected to end, or if the process does not stop
     */
    public boolean isTooLate(Route route, long nowNanos) {
        if (!stopping) {
            return false;
        }
        long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos);
        return leftMs < expectedMs(route) + MARGIN_MS;
    }

    private long expectedMs(Route route) {
        RecentTimes times = timesByRoute.get(route.name());
        return times == null
                ? (long) (UNKNOWN_FRACTION * route.timeoutMs())
                : Math.min(times.longestMs(), route.timeoutMs());
    }
}
