package io.pollenpath.coordination.group;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a leader repeats a command to a rank that refused or did not answer it: at once
 * after the first failure, because the answer may show what to send instead, then after a delay
 * that doubles with each failure in a row. An accepted command ends the delay.
 */
public final class CommandBackoff {

    static final long MIN_DELAY_MS = 40;
    static final long MAX_DELAY_MS = 640;

    private static final int MAX_DOUBLINGS = 4;

    private final Map<Integer, Delay> delays = new HashMap<>();

    private record Delay(int failures, long endNanos) {}

    /**
     * Returns whether a command may be sent to a rank.
     *
     * @param rank the rank
     * @param nowNanos the current time, in nanoseconds
     * @return false during the delay after a failure
     */
    public boolean isDue(int rank, long nowNanos) {
        Delay delay = delays.get(rank);
        return delay == null || nowNanos - delay.endNanos() >= 0;
    }

    /**
     * Records the outcome of a command.
     *
     * @param rank the rank
     * @param accepted whether the rank accepted the command
     * @param nowNanos the current time, in nanoseconds
     */
    public void onOutcome(int rank, boolean accepted, long nowNanos) {
        if (accepted) {
            delays.remove(rank);
            return;
        }
        Delay previous = delays.get(rank);
        int failures = previous == null ? 0 : previous.failures();
        long delayMs = failures == 0 ? 0 : MIN_DELAY_MS << Math.min(failures - 1, MAX_DOUBLINGS);
        delays.put(
                rank, new Delay(failures + 1, nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs)));
    }
}
