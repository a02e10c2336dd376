package io.pollenpath.transport;

import io.pollenpath.util.LogLine;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.agrona.concurrent.Agent;
import org.agrona.concurrent.AgentRunner;
import org.agrona.concurrent.IdleStrategy;
import org.agrona.concurrent.ManyToOneConcurrentLinkedQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The single thread that owns the control state of a process and runs every task that uses it. */
public final class ControlThread implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int MAX_TASKS_PER_CYCLE = 256;

    private final ManyToOneConcurrentLinkedQueue<Runnable> tasks =
            new ManyToOneConcurrentLinkedQueue<>();
    private final Runnable onTick;
    private final AgentRunner runner;
    private volatile Thread parkedThread;
    private long lastTickNanos = System.nanoTime();

    /**
     * Starts the thread.
     *
     * @param onTick called on the thread about every 50 ms to run timers, not null
     */
    public ControlThread(Runnable onTick) {
        this.onTick = onTick;
        runner = new AgentRunner(new ParkUntilTask(), this::onError, null, new TaskAgent());
        AgentRunner.startOnThread(
                runner,
                task -> {
                    Thread thread = new Thread(task);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * Queues a task for the thread. Tasks run in the order in which they were queued.
     *
     * @param task the task, not null
     */
    public void execute(Runnable task) {
        tasks.add(task);
        Thread toUnpark = parkedThread;
        if (toUnpark != null) {
            LockSupport.unpark(toUnpark);
        }
    }

    private void onError(Throwable error) {
        LOG.error("{}", LogLine.event("control_task_failed").with("error", error), error);
    }

    @Override
    public void close() {
        runner.close();
    }

    private final class TaskAgent implements Agent {
        @Override
        public int doWork() {
            int tasksRun = 0;
            while (tasksRun < MAX_TASKS_PER_CYCLE) {
                Runnable task = tasks.poll();
                if (task == null) {
                    break;
                }
                task.run();
                tasksRun++;
            }
            long nowNanos = System.nanoTime();
            if (nowNanos - lastTickNanos >= TICK_NANOS) {
                lastTickNanos = nowNanos;
                onTick.run();
            }
            return tasksRun;
        }

        @Override
        public String roleName() {
            return "control";
        }
    }

    private final class ParkUntilTask implements IdleStrategy {
        @Override
        public void idle(int workCount) {
            if (workCount == 0) {
                idle();
            }
        }

        @Override
        public void idle() {
            parkedThread = Thread.currentThread();
            if (tasks.isEmpty()) {
                LockSupport.parkNanos(TICK_NANOS);
            }
            parkedThread = null;
        }

        @Override
        public void reset() {
            // The strategy keeps no state between duty cycles.
        }
    }
}
