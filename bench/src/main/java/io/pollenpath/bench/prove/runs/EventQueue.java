package io.pollenpath.bench.prove.runs;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A queue of events that run in the order of a virtual clock, those of the same time in the order
 * in which they were added. Equal seeds give equal simulations.
 */
final class EventQueue {

    private record Event(long timeMs, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::sequence));
    private final Random random;
    private long nowMs;
    private long nextSequence;

    EventQueue(long seed) {
        random = new Random(seed);
    }

    long nowMs() {
        return nowMs;
    }

    long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }

    /** Adds an event that runs after a delay of virtual time. */
    void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, nextSequence++, action));
    }

    /** Returns a random number from 0 (inclusive) to the bound (exclusive). */
    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    /** Returns true with the given probability. */
    boolean nextBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    /** Runs all events up to a time (inclusive) and sets the clock to it. */
    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().timeMs() <= endMs) {
            Event event = events.poll();
            nowMs = event.timeMs();
            event.action().run();
        }
        nowMs = endMs;
    }
}
