package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ExpertDemandEstimatorTest {

    private static final int EXPERTS = 4;
    private static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private long nowNanos;

    private final ExpertDemandEstimator demand = new ExpertDemandEstimator(1, EXPERTS);

    private void sample(long... chosen) {
        demand.addCounts(chosen);
        nowNanos += SAMPLE_NANOS;
        demand.update(nowNanos);
    }

    @Test
    void gathersTheCountsOfAShortTime() {
        sample(400, 100, 100, 100);
        demand.addCounts(new long[] {100, 400, 100, 100});
        demand.update(nowNanos + SAMPLE_NANOS / 2);
        assertThat(demand.samples()).isEqualTo(1);
    }

    @Test
    void isUnknownBeforeEnoughSelections() {
        sample(0, 0, 0, 0);
        sample(1, 1, 1, 1);
        assertThat(demand.isKnown()).isFalse();
    }

    @Test
    void followsAShiftWithTheFirstSampleThatShowsIt() {
        sample(400, 400, 100, 100);
        sample(400, 400, 100, 100);
        long shifts = demand.shifts();
        sample(200, 200, 400, 200);
        assertThat(demand.shifts()).isEqualTo(shifts + 1);
        assertThat(demand.shares()[0][2]).isWithin(0.01).of(0.4);
    }

    @Test
    void replacesTheSampleThatMixesTheOldAndTheNewDemand() {
        sample(900, 50, 25, 25);
        sample(900, 50, 25, 25);
        long shifts = demand.shifts();
        sample(450, 25, 25, 500);
        sample(25, 25, 50, 900);
        assertThat(demand.shifts()).isEqualTo(shifts + 1);
        assertThat(demand.shares()[0][3]).isWithin(0.01).of(0.9);
    }

    @Test
    void averagesTheSamplesAfterAShift() {
        sample(400, 400, 100, 100);
        sample(100, 100, 400, 400);
        sample(100, 100, 400, 400);
        sample(100, 100, 300, 500);
        assertThat(demand.shares()[0][3]).isWithin(0.001).of(1.3 / 3);
    }

    @Test
    void followsASecondShift() {
        sample(900, 50, 25, 25);
        sample(900, 50, 25, 25);
        sample(25, 900, 50, 25);
        sample(25, 900, 50, 25);
        long shifts = demand.shifts();
        sample(25, 25, 900, 50);
        assertThat(demand.shifts()).isEqualTo(shifts + 1);
        assertThat(demand.shares()[0][2]).isWithin(0.01).of(0.9);
    }

    @Test
    void addsCountsOfSeveralRanks() {
        demand.addCounts(new long[] {300, 100, 0, 0});
        demand.addCounts(new long[] {100, 100, 200, 200});
        demand.update(nowNanos);
        assertThat(demand.shares()[0][0]).isWithin(0.001).of(0.4);
        assertThat(demand.shares()[0][3]).isWithin(0.001).of(0.2);
    }

    @Test
    void ignoresAnotherNumberOfCounters() {
        demand.addCounts(new long[] {1, 2});
        demand.update(nowNanos);
        assertThat(demand.isKnown()).isFalse();
    }
}
