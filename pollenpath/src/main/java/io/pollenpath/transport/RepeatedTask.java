package io.pollenpath.transport;

import io.pollenpath.util.GuardedSteps;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Runs a task again and again, also after a run that failed. An executor ends a periodic task whose
 * run throws, and tells nobody. Runs that were missed while the process stood still are not made up
 * for.
 */
public final class RepeatedTask {

    private RepeatedTask() {}

    /**
     * Starts a task.
     *
     * @param executor runs the task, not null
     * @param pauseMs the time between two runs and before the first, in milliseconds, above 0
     * @param task the task, not null
     * @param onFailure hears of each failed run, not null
     * @return ends the task when it is cancelled
     */
    public static ScheduledFuture<?> start(
            ScheduledExecutorService executor,
            long pauseMs,
            Runnable task,
            Consumer<Throwable> onFailure) {
        return executor.scheduleWithFixedDelay(
                () -> GuardedSteps.run(task, onFailure), pauseMs, pauseMs, TimeUnit.MILLISECONDS);
    }
}
