package io.pollenpath.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Schedules the requests of an engine with continuous batching: each step generates one token for
 * every request of the batch, and waiting requests join the batch by priority as others finish.
 */
final class BatchScheduler implements AutoCloseable {

    private final long stepNanos;
    private final int maxBatch;
    private final PriorityQueue<EngineRun> waiting =
            new PriorityQueue<>(Comparator.comparingInt(EngineRun::priority));
    private final List<EngineRun> batch = new ArrayList<>();
    private final Map<String, Integer> runCounts = new TreeMap<>();
    private final Thread thread;
    private volatile boolean closed;

    BatchScheduler(int stepUs, int maxBatch) {
        stepNanos = TimeUnit.MICROSECONDS.toNanos(stepUs);
        this.maxBatch = maxBatch;
        thread = new Thread(this::loop, "steps");
        thread.setDaemon(true);
        thread.start();
    }

    void add(EngineRun run) {
        synchronized (this) {
            waiting.add(run);
            runCounts.merge(run.id(), 1, Integer::sum);
        }
        LockSupport.unpark(thread);
    }

    private void loop() {
        long nextNanos = System.nanoTime();
        while (!closed) {
            if (!fillBatch()) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
                nextNanos = System.nanoTime();
                continue;
            }
            nextNanos += stepNanos;
            sleepUntil(nextNanos);
            batch.removeIf(run -> !run.generateToken());
        }
    }

    private static void sleepUntil(long deadlineNanos) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = deadlineNanos - System.nanoTime();
        }
    }

    private synchronized boolean fillBatch() {
        while (batch.size() < maxBatch && !waiting.isEmpty()) {
            batch.add(waiting.poll());
        }
        return !batch.isEmpty();
    }

    synchronized ObjectNode load() {
        ObjectNode node = Json.object();
        node.put("running", batch.size());
        node.put("waiting", waiting.size());
        return node;
    }

    synchronized ObjectNode runCounts() {
        ObjectNode node = Json.object();
        runCounts.forEach(node::put);
        return node;
    }

    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }
}
