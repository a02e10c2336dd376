package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/**
 * Forecasts the steps that a group has begun since its newest known one, to choose a step that can
 * still be held. What a leader knows of the steps is up to one round of polls old.
 */
final class StepForecast {

    /** Time in which a step is held and the ranks are armed for it, in milliseconds. */
    private static final double ARM_MS = 50;

    /** Steps from the newest known one to the held one while the length of a step is unknown. */
    private static final int STEPS_AHEAD_AT_UNKNOWN_PACE = 2;

    /** On average, a step has lasted for half of its length when it is read. */
    private static final double MEAN_PROGRESS = 0.5;

    /** An older status tells nothing of the present step, in milliseconds. */
    private static final double MAX_AGE_MS = 500;

    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private boolean known;
    private long newestStep;
    private long readNanos;

    /**
     * Records the step that a rank has reported.
     *
     * @param step the last step that it has begun
     * @param reportNanos the earliest time at which this was so, in nanoseconds
     */
    void onStep(long step, long reportNanos) {
        if (!known || step > newestStep) {
            newestStep = step;
            readNanos = reportNanos;
        } else if (step == newestStep) {
            readNanos = Math.max(readNanos, reportNanos);
        }
        known = true;
    }

    /** Forgets all steps, since they are counted anew. */
    void clear() {
        known = false;
        newestStep = 0;
    }

    /**
     * Returns the first step that probably begins late enough to be held and armed for.
     *
     * @param stepMs the length of a step, in milliseconds; 0 if it is unknown
     * @param nowNanos the current time, in nanoseconds
     * @return the step, above the newest known one
     */
    long stepToHold(double stepMs, long nowNanos) {
        if (stepMs <= 0) {
            return newestStep + STEPS_AHEAD_AT_UNKNOWN_PACE;
        }
        double ageMs = (nowNanos - readNanos) / NANOS_PER_MS;
        double leadMs = ARM_MS + Math.min(MAX_AGE_MS, Math.max(0, ageMs));
        return newestStep + Math.max(1, (long) Math.ceil(leadMs / stepMs + MEAN_PROGRESS));
    }
}
