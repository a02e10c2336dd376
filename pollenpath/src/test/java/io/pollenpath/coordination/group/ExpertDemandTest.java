package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ExpertDemandTest {

    private static final int EXPERTS = 4;

    private final ExpertDemand demand = new ExpertDemand(1, EXPERTS);
    private final long[] counters = new long[EXPERTS];

    private void sample(long... chosen) {
        for (int expert = 0; expert < EXPERTS; expert++) {
            counters[expert] += chosen[expert];
        }
        demand.onCounts(0, counters.clone());
        demand.fold();
    }

    @Test
    void isNotSteadyBeforeEnoughWasCounted() {
        sample(0, 0, 0, 0);
        sample(1, 1, 1, 1);
        assertThat(demand.isSteady()).isFalse();
    }

    @Test
    void followsAShiftOnceTwoSamplesAgree() {
        sample(0, 0, 0, 0);
        sample(400, 400, 100, 100);
        assertThat(demand.isSteady()).isTrue();
        long shifts = demand.shifts();
        sample(100, 100, 400, 400);
        assertThat(demand.isSteady()).isFalse();
        sample(100, 100, 400, 400);
        assertThat(demand.isSteady()).isTrue();
        assertThat(demand.shifts()).isEqualTo(shifts + 1);
        assertThat(demand.shares()[0][2]).isWithin(0.01).of(0.4);
    }

    @Test
    void takesCountersOfARestartedEngineFromZero() {
        sample(0, 0, 0, 0);
        sample(400, 400, 100, 100);
        demand.onCounts(0, new long[] {100, 100, 50, 50});
        demand.fold();
        assertThat(demand.isSteady()).isTrue();
        assertThat(demand.shares()[0][0]).isGreaterThan(0.3);
    }

    @Test
    void ignoresCountersOfAnotherShape() {
        demand.onCounts(0, new long[] {1, 2});
        demand.fold();
        assertThat(demand.isSteady()).isFalse();
    }
}
