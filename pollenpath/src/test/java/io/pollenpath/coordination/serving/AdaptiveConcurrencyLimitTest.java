package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class AdaptiveConcurrencyLimitTest {

    private static final double EMPTY_STEP_MS = 18;
    private static final double OBJECTIVE_MS = 120;

    /** Step time that each further stream adds, in milliseconds. */
    private static final double PER_STREAM_MS = 1.1;

    @Test
    void admitsAllBeforeTheFirstGap() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(EMPTY_STEP_MS);
        assertThat(limit.admits(1_000, 8)).isTrue();
    }

    @Test
    void admitsOnlyTheMinimumWhenStepsAreTooLong() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(EMPTY_STEP_MS);
        for (int i = 0; i < 200; i++) {
            limit.onGap(200, OBJECTIVE_MS, 20);
        }
        assertThat(limit.admits(19, 32)).isFalse();
        assertThat(limit.admits(7, 32)).isTrue();
    }

    @Test
    void ignoresStreamsWithoutAGapObjective() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(EMPTY_STEP_MS);
        limit.onGap(500, 0, 20);
        assertThat(limit.admits(1_000, 8)).isTrue();
    }

    /**
     * Simulates four entries with unequal demand, in total twice the capacity of the rank group.
     * The step time must converge below the objective and above half of it, and every entry must
     * keep streams.
     */
    @Test
    void entriesConvergeOnOneStepTimeWithoutCommunication() {
        int[] demand = {90, 60, 40, 20};
        int[] inFlight = new int[demand.length];
        AdaptiveConcurrencyLimit[] limits = new AdaptiveConcurrencyLimit[demand.length];
        Arrays.setAll(limits, i -> new AdaptiveConcurrencyLimit(EMPTY_STEP_MS));
        double stepMs = EMPTY_STEP_MS;
        for (int step = 0; step < 400; step++) {
            stepMs = EMPTY_STEP_MS + PER_STREAM_MS * IntStream.of(inFlight).sum();
            for (int entry = 0; entry < demand.length; entry++) {
                for (int stream = 0; stream < inFlight[entry]; stream++) {
                    limits[entry].onGap(stepMs, OBJECTIVE_MS, inFlight[entry]);
                }
                // One twentieth of the streams ends in each step.
                inFlight[entry] -= (inFlight[entry] + 19) / 20;
                while (inFlight[entry] < demand[entry]
                        && limits[entry].admits(inFlight[entry], 32)) {
                    inFlight[entry]++;
                }
            }
        }
        assertThat(stepMs).isAtMost(OBJECTIVE_MS);
        assertThat(stepMs).isAtLeast(OBJECTIVE_MS / 2);
        for (int entry = 0; entry < demand.length; entry++) {
            assertWithMessage("entry %s", entry).that(inFlight[entry]).isAtLeast(5);
        }
    }
}
