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
    void allRanksOfASmallGroupAreSampledTwentyTimesASecond() {
        LeaderPolling polling =
                LeaderPolling.of(16, 4 * 64, new VmCapacity(0.45, 14 * MEGABIT_BYTES));
        assertThat(polling).isEqualTo(new LeaderPolling(16, 50, 16, 500));
    }

    @Test
    void largerGroupsArePolledTenTimesASecond() {
        LeaderPolling polling =
                LeaderPolling.of(32, 12 * 128, new VmCapacity(0.45, 14 * MEGABIT_BYTES));
        assertThat(polling.pollPeriodMs()).isEqualTo(100);
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
    void pollingSaturatesNeitherCpuNorNetworkOfTheLeader(
            int ranks, int counters, double cores, double linkMbps) {
        LeaderPolling polling =
                LeaderPolling.of(ranks, counters, new VmCapacity(cores, linkMbps * MEGABIT_BYTES));
        double callsPerS = ranks * 1_000.0 / polling.pollPeriodMs();
        assertThat(callsPerS * 0.000_35).isAtMost(cores / 2);
        double bytesPerS = polling.sampledRanks() * 1_000.0 / polling.pollPeriodMs() * counters;
        boolean minimum = polling.sampledRanks() == Math.min(ranks, 8);
        assertThat(minimum || bytesPerS <= linkMbps * MEGABIT_BYTES / 4).isTrue();
        assertThat(polling.electionTimeoutMs()).isAtLeast(4 * polling.pollPeriodMs());
    }

    @Test
    void sampledRanksAreEvenlyDistributed() {
        LeaderPolling polling = new LeaderPolling(72, 100, 15, 500);
        int[] sampled = IntStream.range(0, 72).filter(polling::isSampled).toArray();
        assertThat(sampled).hasLength(15);
        for (int i = 1; i < sampled.length; i++) {
            assertThat(sampled[i] - sampled[i - 1]).isAnyOf(4, 5);
        }
    }

    @Test
    void eachRankOfASettledGroupIsPolledTwiceInAnElectionTimeout() {
        LeaderPolling polling =
                LeaderPolling.of(72, 12 * 144, new VmCapacity(0.45, 5.6 * MEGABIT_BYTES));
        long rounds = polling.electionTimeoutMs() / polling.pollPeriodMs();
        int polls = 0;
        for (int rank = 0; rank < 72; rank++) {
            int pollsOfRank = 0;
            for (long round = 0; round < rounds; round++) {
                pollsOfRank += polling.isPolledWhenSettled(rank, round) ? 1 : 0;
            }
            assertThat(pollsOfRank).isAtLeast(2);
            polls += pollsOfRank;
        }
        assertThat(polls).isLessThan((int) (0.6 * 72 * rounds));
    }
}
