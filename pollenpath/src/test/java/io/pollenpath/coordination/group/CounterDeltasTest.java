package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CounterDeltasTest {

    private final CounterDeltas growth = new CounterDeltas();

    @Test
    void theFirstCountersTellNothing() {
        assertThat(growth.update(new long[] {5, 7})).isEqualTo(new long[] {0, 0});
    }

    @Test
    void tellsWhatWasCountedBetweenTwoCalls() {
        growth.update(new long[] {5, 7});
        assertThat(growth.update(new long[] {6, 17})).isEqualTo(new long[] {1, 10});
        assertThat(growth.update(new long[] {6, 18})).isEqualTo(new long[] {0, 1});
    }

    @Test
    void takesCountersOfARestartedEngineFromZero() {
        growth.update(new long[] {400, 400});
        assertThat(growth.update(new long[] {100, 50})).isEqualTo(new long[] {100, 50});
    }

    @Test
    void countersOfAnotherShapeTellNothing() {
        growth.update(new long[] {5, 7});
        assertThat(growth.update(new long[] {6})).isEqualTo(new long[] {0});
    }
}
