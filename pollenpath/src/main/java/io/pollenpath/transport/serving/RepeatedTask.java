package io.pollenpath.transport.serving;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Runs a task of an event loop again and again, also after a run that failed. */
final class RepeatedTask {

    private RepeatedTask() {}

    /**
     * Starts a task. An executor ends a periodic task whose run throws, and a gateway without its
     * timers would leave its requests without an answer.
     *
     * @param loop the event loop, not null
     * @param periodMs the time between two runs, in milliseconds, above 0
     * @param task the task, not null
     * @param onFailure hears of each failed run, not null
     */
    static void start(EventLoop loop, long periodMs, Runnable task, Consumer<Throwable> onFailure) {
        loop.scheduleAtFixedRate(
                () -> run(task, onFailure), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    private static void run(Runnable task, Consumer<Throwable> onFailure) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            onFailure.accept(e);
        }
    }
}
