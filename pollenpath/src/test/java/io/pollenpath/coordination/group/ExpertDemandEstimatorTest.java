package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class ExpertDemandEstimatorTest {

    private static final int EXPERTS = 4;

    private final ExpertDemandEstimator demand = new ExpertDemandEstimator(1, EXPERTS);

    private void sample(long... chosen) {
        demand.addCounts(chosen);
        demand.update();
    }

    @Test
    void isNotSteadyBeforeEnoughSelections() {
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
    void addsCountsOfSeveralRanks() {
        demand.addCounts(new long[] {300, 100, 0, 0});
        demand.addCounts(new long[] {100, 100, 200, 200});
        demand.update();
        assertThat(demand.shares()[0][0]).isWithin(0.001).of(0.4);
        assertThat(demand.shares()[0][3]).isWithin(0.001).of(0.2);
    }

    @Test
    void ignoresAnotherNumberOfCounters() {
        demand.addCounts(new long[] {1, 2});
        demand.update();
        assertThat(demand.isSteady()).isFalse();
    }
}
