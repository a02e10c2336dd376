package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/** Measures how long the steps of a group take, from the steps that one rank reports. */
final class StepPace {

    /** Minimum time over which steps are counted; shorter ones count too few of them. */
    private static final long MIN_SPAN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private boolean started;
    private long firstStep;
    private long firstNanos;
    private double stepMs;

    /**
     * Records the newest step.
     *
     * @param step the step, as the rank reports it
     * @param nowNanos the time of the report, in nanoseconds
     */
    void onStep(long step, long nowNanos) {
        if (!started || step < firstStep) {
            start(step, nowNanos);
            return;
        }
        if (nowNanos - firstNanos >= MIN_SPAN_NANOS && step > firstStep) {
            stepMs = (nowNanos - firstNanos) / 1e6 / (step - firstStep);
            start(step, nowNanos);
        }
    }

    private void start(long step, long nowNanos) {
        started = true;
        firstStep = step;
        firstNanos = nowNanos;
    }

    /**
     * Returns the length of a step.
     *
     * @return the length, in milliseconds; 0 if it is not known
     */
    double stepMs() {
        return stepMs;
    }
}
