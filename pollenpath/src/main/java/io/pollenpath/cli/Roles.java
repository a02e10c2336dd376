package io.pollenpath.cli;

import io.pollenpath.util.LogLine;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the long-running roles. */
final class Roles {

    private static final Logger LOG = LoggerFactory.getLogger(Roles.class);

    private static final String DEFAULT_LOG_LEVEL = "info";

    private Roles() {}

    /** Starts a role and runs it until the process gets a signal to stop. */
    static int run(CommonSettings settings, Supplier<Role> start) {
        LogSetup.configureForRole(settings.name, settings.logLevel);
        try {
            runUntilSignal(start.get());
            return ExitCodes.OK;
        } catch (IllegalStateException e) {
            return startFailed(e, ExitCodes.FAILED);
        } catch (IllegalArgumentException e) {
            return startFailed(e, ExitCodes.USAGE);
        }
    }

    /** Starts the role of a provider and runs it until the process gets a signal to stop. */
    static int runProvided(RoleProvider provider, BaseSettings settings) {
        try {
            LogSetup.configureForRole(provider.processName(settings), DEFAULT_LOG_LEVEL);
            runUntilSignal(provider.start(settings));
            return ExitCodes.OK;
        } catch (IllegalStateException e) {
            return startFailed(e, ExitCodes.FAILED);
        } catch (IllegalArgumentException e) {
            return startFailed(e, ExitCodes.USAGE);
        }
    }

    private static int startFailed(RuntimeException failure, int exitCode) {
        LOG.error("{}", LogLine.event("start_failed").with("error", failure.getMessage()));
        System.err.println("error: " + failure.getMessage());
        return exitCode;
    }

    /**
     * Installs a shutdown hook and blocks. On SIGTERM or SIGINT the hook stops the role and ends
     * the process.
     */
    static void runUntilSignal(Role role) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndHalt(role), "stop"));
        CountDownLatch never = new CountDownLatch(1);
        try {
            never.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void stopAndHalt(Role role) {
        LOG.info("{}", LogLine.event("stopping"));
        boolean completed = role.stop();
        LOG.info("{}", LogLine.event("stopped").with("all_work_done", completed));
        LogSetup.flush();
        // Without halt, a process stopped by SIGTERM exits with 143 even after a clean stop.
        Runtime.getRuntime().halt(completed ? ExitCodes.OK : ExitCodes.GRACE_EXCEEDED);
    }
}
