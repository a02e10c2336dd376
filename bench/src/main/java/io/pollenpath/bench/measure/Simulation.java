package io.pollenpath.bench.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A discrete-event simulation. Events run in order of simulated time; events with the same time run
 * in order of creation.
 */
final class Simulation {

    private record Event(long timeNanos, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeNanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    long nowNanos() {
        return nowNanos;
    }

    /** Schedules an action after a delay; a negative delay counts as 0. */
    void scheduleAfter(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), nextSequence++, action));
    }

    /** Schedules an action at a fixed period, for the first time after one period. */
    void scheduleEvery(long periodNanos, Runnable action) {
        scheduleAfter(
                periodNanos,
                () -> {
                    action.run();
                    scheduleEvery(periodNanos, action);
                });
    }

    /** Runs all events before a time and advances the clock to it. */
    void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().timeNanos() < endNanos) {
            Event event = events.poll();
            nowNanos = event.timeNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
