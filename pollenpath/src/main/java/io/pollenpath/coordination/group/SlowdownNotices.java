package io.pollenpath.coordination.group;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the agent beside an engine tells the entries how slow the engine is: when it becomes
 * slow, when its slowdown changes, at intervals while it is slow, and when it is well again. An
 * engine that works as usual causes no message.
 */
public final class SlowdownNotices {

    /** Slowdown from which an engine delays its group noticeably. */
    static final double SLOW_FACTOR = 1.5;

    /** Time between two notices of a slow engine, in milliseconds. */
    static final long REPEAT_MS = 1_000;

    /** Ratio of two slowdowns from which they differ enough to be told at once. */
    private static final double CHANGE_RATIO = 1.5;

    private static final double USUAL = 1;

    private double toldFactor = USUAL;
    private long toldNanos;

    /**
     * Handles a report of the engine.
     *
     * @param slowdown how many times longer the engine takes for its work than usual, above 0
     * @param nowNanos the current time, in nanoseconds
     * @return the slowdown to tell the entries, 1 if the engine is well again; empty if there is
     *     nothing to tell now
     */
    public OptionalDouble onReport(double slowdown, long nowNanos) {
        double factor = slowdown >= SLOW_FACTOR ? slowdown : USUAL;
        boolean changed = ratio(factor, toldFactor) >= CHANGE_RATIO;
        boolean repeatDue =
                factor > USUAL && nowNanos - toldNanos >= TimeUnit.MILLISECONDS.toNanos(REPEAT_MS);
        if (!changed && !repeatDue) {
            return OptionalDouble.empty();
        }
        toldFactor = factor;
        toldNanos = nowNanos;
        return OptionalDouble.of(factor);
    }

    private static double ratio(double one, double other) {
        return Math.max(one, other) / Math.min(one, other);
    }
}
