package io.pollenpath.platform;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Spreads the registrations of all processes that are due at the same time. */
final class RegistrationDelay {

    private static final long MAX_DELAY_MS = 1_000;

    private RegistrationDelay() {}

    /** Runs an action on the control thread after a random delay of up to a second. */
    static void schedule(ScheduledExecutorService control, Runnable action) {
        long delayMs = ThreadLocalRandom.current().nextLong(MAX_DELAY_MS);
        control.schedule(action, delayMs, TimeUnit.MILLISECONDS);
    }
}
