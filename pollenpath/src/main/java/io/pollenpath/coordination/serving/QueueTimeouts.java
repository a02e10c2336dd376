package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.Route;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Computes how long a request may queue for a free server, and when a refused caller should retry.
 */
public final class QueueTimeouts {

    /** Fraction of the latency objective for queueing; the rest is left for the server. */
    static final double ON_TIME_QUEUE_FRACTION = 0.4;

    /** Maximum queueing time as a fraction of the time left until the caller's timeout. */
    static final double MAX_QUEUE_FRACTION = 0.2;

    /** Maximum retry delay as a fraction of the time left until the caller's timeout. */
    static final double MAX_RETRY_DELAY_FRACTION = 1.0 / 3;

    /** Fraction of the longest retry delay from which the jitter begins at the latest. */
    private static final double MAX_BASE_FRACTION = 0.6;

    private static final double MIN_RETRY_DELAY_MS = 50;

    /**
     * Minimum retry delay for a stalled service before jitter, in milliseconds. A rank group takes
     * seconds to form again.
     */
    private static final double STALLED_RETRY_DELAY_MS = 1_600;

    private QueueTimeouts() {}

    /**
     * Returns how long a server may send nothing before a request that may run again leaves it.
     *
     * @param route the route, not null
     * @param streamSilenceMs the shortest such time of a stream, in milliseconds
     * @return the time, in milliseconds
     */
    public static long silenceLimitMs(Route route, long streamSilenceMs) {
        long twoObjectivesMs = 2 * route.objectiveMs();
        return route.streaming() ? Math.max(streamSilenceMs, twoObjectivesMs) : twoObjectivesMs;
    }

    /**
     * Returns how long a request may queue and still be answered on time.
     *
     * @param route the route, not null
     * @return the time, in milliseconds
     */
    public static long onTimeQueueMs(Route route) {
        return (long) (ON_TIME_QUEUE_FRACTION * route.objectiveMs());
    }

    /**
     * Returns the time from which a queued request can no longer be answered on time.
     *
     * @param route the route, not null
     * @param arrivedNanos the time at which the request arrived, in nanoseconds
     * @return the time, in nanoseconds
     */
    public static long lateAtNanos(Route route, long arrivedNanos) {
        return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(onTimeQueueMs(route));
    }

    /**
     * Returns how long a request may queue before it is refused.
     *
     * @param timeLeftMs the time until the caller's timeout, in milliseconds
     * @return the time, in milliseconds
     */
    public static long maxQueueMs(long timeLeftMs) {
        return Math.max(0, (long) (MAX_QUEUE_FRACTION * timeLeftMs));
    }

    /**
     * Returns whether a new request should be refused once it can no longer begin on time. Each
     * stream makes the others on its server slower, so one that is late already would make others
     * late, which would keep an overload up after its cause is gone. While no server makes
     * progress, no request delays another one.
     *
     * @param route the route, not null
     * @param stalled whether the service is stalled
     * @return true for a route whose events are due at intervals, unless the service is stalled
     */
    public static boolean mustBeginOnTime(Route route, boolean stalled) {
        return route.streaming() && route.gapObjectiveMs() > 0 && !stalled;
    }

    /**
     * Returns how long a new request may be expected to queue without being refused at once.
     *
     * @param route the route, not null
     * @param stalled whether the service is stalled
     * @param timeLeftMs the time until the caller's timeout, in milliseconds
     * @return the time, in milliseconds
     */
    public static long maxExpectedQueueMs(Route route, boolean stalled, long timeLeftMs) {
        long longestMs = maxQueueMs(timeLeftMs);
        return mustBeginOnTime(route, stalled)
                ? Math.min(longestMs, onTimeQueueMs(route))
                : longestMs;
    }

    /**
     * Returns how long a refused caller should wait before it retries, with jitter of up to the
     * same time again. The times of many callers are spread evenly also where they are limited, so
     * that callers do not all return at once.
     *
     * @param expectedWaitMs the time until the queue has capacity at the current rate, in
     *     milliseconds
     * @param stalled whether the service is stalled
     * @param timeLeftMs the time until the caller's timeout, in milliseconds
     * @param random source of the jitter, not null
     * @return the delay, in milliseconds; at most a third of {@code timeLeftMs}, 0 if none is left
     */
    public static long retryAfterMs(
            double expectedWaitMs, boolean stalled, long timeLeftMs, RandomGenerator random) {
        double minMs = stalled ? STALLED_RETRY_DELAY_MS : MIN_RETRY_DELAY_MS;
        double limitMs = Math.max(0, timeLeftMs * MAX_RETRY_DELAY_FRACTION);
        double baseMs = Math.min(MAX_BASE_FRACTION * limitMs, Math.max(minMs, expectedWaitMs));
        double longestMs = Math.min(limitMs, 2 * baseMs);
        return (long) (baseMs + (longestMs - baseMs) * random.nextDouble());
    }
}
