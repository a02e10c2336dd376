package io.pollenpath.bench.config;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated clock that runs scheduled actions in the order of their times. */
public final class SimulatedClock {

    /** A scheduled action; its sequence number orders actions of the same time. */
    private record Action(long dueNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(
                    Comparator.comparingLong(Action::dueNanos).thenComparingLong(Action::sequence));
    private long nowNanos;
    private long nextSequence;

    /**
     * Returns the current simulated time.
     *
     * @return the time in nanoseconds
     */
    public long nowNanos() {
        return nowNanos;
    }

    /**
     * Schedules an action. Actions of the same time run in the order in which they were scheduled.
     *
     * @param delayNanos the delay from now, in nanoseconds
     * @param action the action, not null
     */
    public void schedule(long delayNanos, Runnable action) {
        actions.add(new Action(nowNanos + delayNanos, nextSequence, action));
        nextSequence++;
    }

    /**
     * Advances the time and runs every action that becomes due, including those scheduled
     * meanwhile.
     *
     * @param durationNanos how far to advance, in nanoseconds
     */
    public void advance(long durationNanos) {
        long endNanos = nowNanos + durationNanos;
        while (!actions.isEmpty() && actions.peek().dueNanos() <= endNanos) {
            Action next = actions.poll();
            nowNanos = next.dueNanos();
            next.action().run();
        }
        nowNanos = endNanos;
    }
}
