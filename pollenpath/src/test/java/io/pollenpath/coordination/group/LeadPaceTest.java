package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.group.VmCapacity;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeadPaceTest {

    private static final double MEGABIT_BYTES = 125_000;

    @Test
    void aSmallGroupIsAskedTenTimesASecondForEverything() {
        LeadPace pace = LeadPace.of(16, 4 * 64, new VmCapacity(0.45, 14 * MEGABIT_BYTES));
        assertThat(pace).isEqualTo(new LeadPace(16, 100, 16, 500));
    }

    /** Covers the largest groups of a deployment, on VMs with little free capacity. */
    @ParameterizedTest
    @CsvSource({
        "45, 1728, 0.15, 8",
        "72, 1728, 0.45, 8",
        "128, 15360, 0.45, 14",
        "128, 15360, 0.15, 100",
        "2, 64, 0.1, 1"
    })
    void neitherProcessorNorNetworkOfTheLeaderFillUp(
            int ranks, int counters, double cores, double linkMbps) {
        LeadPace pace =
                LeadPace.of(ranks, counters, new VmCapacity(cores, linkMbps * MEGABIT_BYTES));
        double callsPerS = ranks * 1_000.0 / pace.pollPeriodMs();
        assertThat(callsPerS * 0.000_35).isAtMost(cores / 2);
        double bytesPerS = pace.countedRanks() * 1_000.0 / pace.pollPeriodMs() * counters;
        boolean fewest = pace.countedRanks() == Math.min(ranks, 8);
        assertThat(fewest || bytesPerS <= linkMbps * MEGABIT_BYTES / 4).isTrue();
        assertThat(pace.silenceMs()).isAtLeast(4 * pace.pollPeriodMs());
    }

    @Test
    void countedRanksAreSpreadOverTheGroup() {
        LeadPace pace = new LeadPace(72, 100, 15, 500);
        int[] counted = IntStream.range(0, 72).filter(pace::counts).toArray();
        assertThat(counted).hasLength(15);
        for (int i = 1; i < counted.length; i++) {
            assertThat(counted[i] - counted[i - 1]).isAnyOf(4, 5);
        }
    }
}
