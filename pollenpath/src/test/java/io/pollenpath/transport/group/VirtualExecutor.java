package io.pollenpath.transport.group;

import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Runs tasks in the order of a simulated time, on the thread that advances the time. */
final class VirtualExecutor extends AbstractExecutorService implements ScheduledExecutorService {

    private final PriorityQueue<Task<?>> tasks = new PriorityQueue<>();
    private long nowNanos;
    private long nextNumber;

    private final class Task<V> extends FutureTask<V> implements ScheduledFuture<V> {
        private final long dueNanos;
        private final long number = nextNumber++;

        Task(Callable<V> work, long delayNanos) {
            super(work);
            dueNanos = nowNanos + Math.max(0, delayNanos);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - nowNanos, TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            Task<?> task = (Task<?>) other;
            int byTime = Long.compare(dueNanos, task.dueNanos);
            return byTime == 0 ? Long.compare(number, task.number) : byTime;
        }
    }

    /** Returns the simulated time. */
    long nowNanos() {
        return nowNanos;
    }

    /** Runs all tasks that are due until a time. */
    void runUntil(long endNanos) {
        while (!tasks.isEmpty() && tasks.peek().dueNanos <= endNanos) {
            Task<?> task = tasks.poll();
            nowNanos = task.dueNanos;
            task.run();
            rethrowFailure(task);
        }
        nowNanos = endNanos;
    }

    private static void rethrowFailure(Task<?> task) {
        try {
            task.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException("a task failed", e);
        }
    }

    @Override
    public void execute(Runnable work) {
        schedule(work, 0, TimeUnit.NANOSECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable work, long delay, TimeUnit unit) {
        return schedule(Executors.callable(work), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable work, long initialDelay, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    work.run();
                    scheduleWithFixedDelay(work, delay, delay, unit);
                },
                initialDelay,
                unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable work, long initialDelay, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(work, initialDelay, period, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> work, long delay, TimeUnit unit) {
        Task<V> task = new Task<>(work, unit.toNanos(delay));
        tasks.add(task);
        return task;
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        shutdown();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }
}
