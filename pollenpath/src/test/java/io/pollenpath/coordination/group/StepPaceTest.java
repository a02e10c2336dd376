package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StepPaceTest {

    private static final long REPORT_INTERVAL_MS = 70;

    private final StepPace pace = new StepPace();

    private void reportSteps(long stepMs, long fromMs, long endMs) {
        for (long nowMs = fromMs; nowMs < endMs; nowMs += REPORT_INTERVAL_MS) {
            pace.onStep(nowMs / stepMs, TimeUnit.MILLISECONDS.toNanos(nowMs));
        }
    }

    @Test
    void shortStepsAreHeldTwoAhead() {
        reportSteps(50, 0, 2_000);
        assertThat(pace.holdAheadSteps()).isEqualTo(2);
    }

    @Test
    void longStepsAreHeldOneAhead() {
        reportSteps(190, 0, 2_000);
        assertThat(pace.holdAheadSteps()).isEqualTo(1);
    }

    @Test
    void withoutReportsStepsCountAsShort() {
        assertThat(pace.holdAheadSteps()).isEqualTo(2);
    }

    @Test
    void stepsThatStartAnewAreMeasuredAnew() {
        reportSteps(190, 0, 2_000);
        for (long nowMs = 2_000; nowMs < 3_000; nowMs += REPORT_INTERVAL_MS) {
            pace.onStep((nowMs - 2_000) / 40, TimeUnit.MILLISECONDS.toNanos(nowMs));
        }
        assertThat(pace.holdAheadSteps()).isEqualTo(2);
    }
}
