package io.pollenpath.transport.group;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * The control thread of an agent and the clock that its work reads.
 *
 * @param executor runs the work of the agent on one thread, not null
 * @param nanoClock returns the time of a steady clock in nanoseconds, not null
 */
public record AgentScheduler(ScheduledExecutorService executor, LongSupplier nanoClock) {

    /** Checks the components. */
    public AgentScheduler {
        Objects.requireNonNull(executor, "executor");
        Objects.requireNonNull(nanoClock, "nanoClock");
    }

    /**
     * Creates a scheduler with the steady clock of the process.
     *
     * @param executor runs the work of the agent on one thread, not null
     * @return the scheduler
     */
    public static AgentScheduler of(ScheduledExecutorService executor) {
        return new AgentScheduler(executor, System::nanoTime);
    }

    /**
     * Returns the current time of the clock.
     *
     * @return the time, in nanoseconds
     */
    long nowNanos() {
        return nanoClock.getAsLong();
    }
}
