package io.pollenpath.platform;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Creates the single thread that owns the control state of a role. */
final class ControlThreads {

    private ControlThreads() {}

    /** Creates an executor with one daemon thread, which does not keep the process alive. */
    static ScheduledExecutorService newExecutor() {
        return Executors.newSingleThreadScheduledExecutor(
                task -> {
                    Thread thread = new Thread(task, "control");
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
