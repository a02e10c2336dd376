package io.pollenpath.platform;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Starts the one thread that owns the control state of a role on the platform. */
final class ControlThreads {

    private ControlThreads() {}

    /** Starts a thread that does not keep the process alive. */
    static ScheduledExecutorService start() {
        return Executors.newSingleThreadScheduledExecutor(
                task -> {
                    Thread thread = new Thread(task, "control");
                    thread.setDaemon(true);
                    return thread;
                });
    }
}
