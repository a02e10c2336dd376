package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/** Measures how long the steps of a group take, from the steps that one rank reports. */
final class StepPace {

    /** Minimum time over which steps are counted; shorter ones count too few of them. */
    private static final long MIN_SPAN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Steps from the newest known step to the held one while steps are short. */
    private static final int SHORT_STEPS_AHEAD = 2;

    /**
     * A step of at least this length gives enough time to arm all ranks, in milliseconds. To hold a
     * later one would keep the group on the old map for longer.
     */
    private static final double LONG_STEP_MS = 100;

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
     * Returns how far ahead a step must be held so that arming all ranks delays it little.
     *
     * @return the steps from the newest known one, at least 1
     */
    int holdAheadSteps() {
        return stepMs >= LONG_STEP_MS ? 1 : SHORT_STEPS_AHEAD;
    }
}
