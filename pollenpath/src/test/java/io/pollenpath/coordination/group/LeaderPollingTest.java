package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.group.VmCapacity;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaderPollingTest {

    private static final double MEGABIT_BYTES = 125_000;

    @Test
    void aSmallGroupIsAskedTenTimesASecondForEverything() {
        LeaderPolling pace = LeaderPolling.of(16, 4 * 64, new VmCapacity(0.45, 14 * MEGABIT_BYTES));
        assertThat(pace).isEqualTo(new LeaderPolling(16, 100, 16, 500));
    }

    /** Groups as large as a deployment may have, on VMs with little to spare. */
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
        LeaderPolling pace =
                LeaderPolling.of(ranks, counters, new VmCapacity(cores, linkMbps * MEGABIT_BYTES));
        double callsPerS = ranks * 1_000.0 / pace.pollPeriodMs();
        assertThat(callsPerS * 0.000_35).isAtMost(cores / 2);
        double bytesPerS = pace.sampledRanks() * 1_000.0 / pace.pollPeriodMs() * counters;
        boolean fewest = pace.sampledRanks() == Math.min(ranks, 8);
        assertThat(fewest || bytesPerS <= linkMbps * MEGABIT_BYTES / 4).isTrue();
        assertThat(pace.electionTimeoutMs()).isAtLeast(4 * pace.pollPeriodMs());
    }

    @Test
    void countedRanksAreSpreadOverTheGroup() {
        LeaderPolling pace = new LeaderPolling(72, 100, 15, 500);
        int[] counted = IntStream.range(0, 72).filter(pace::isSampled).toArray();
        assertThat(counted).hasLength(15);
        for (int i = 1; i < counted.length; i++) {
            assertThat(counted[i] - counted[i - 1]).isAnyOf(4, 5);
        }
    }
}
