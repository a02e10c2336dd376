package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LeaderElectionTest {

    private static final long SILENCE_MS = 500;

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void lowRanksTryFirst() {
        LeaderElection candidacy = new LeaderElection(0);
        candidacy.onLeaderCall(1, 0);
        assertThat(candidacy.shouldClaimLease(3, SILENCE_MS, ms(SILENCE_MS))).isFalse();
        assertThat(candidacy.shouldClaimLease(0, SILENCE_MS, ms(SILENCE_MS))).isTrue();
    }

    @Test
    void noTwoRanksOfALargeGroupTryAtTheSameTime() {
        long last = 0;
        for (int rank = 0; rank < 72; rank++) {
            LeaderElection candidacy = new LeaderElection(0);
            candidacy.onLeaderCall(1, 0);
            long first = SILENCE_MS;
            while (!candidacy.shouldClaimLease(rank, SILENCE_MS, ms(first))) {
                first++;
            }
            assertThat(first).isGreaterThan(last);
            last = first;
        }
        assertThat(last).isLessThan(2_500);
    }

    @Test
    void anAgentThatStartsListensFirst() {
        LeaderElection candidacy = new LeaderElection(0);
        assertThat(candidacy.shouldClaimLease(0, SILENCE_MS, ms(250))).isFalse();
        assertThat(candidacy.shouldClaimLease(0, SILENCE_MS, ms(300))).isTrue();
    }

    @Test
    void aTryPutsTheNextOneOff() {
        LeaderElection candidacy = new LeaderElection(0);
        assertThat(candidacy.shouldClaimLease(0, SILENCE_MS, ms(2_000))).isTrue();
        assertThat(candidacy.shouldClaimLease(0, SILENCE_MS, ms(2_100))).isFalse();
        assertThat(candidacy.shouldClaimLease(0, SILENCE_MS, ms(2_700))).isTrue();
    }

    @Test
    void refusesALeaderWithAnOldToken() {
        LeaderElection candidacy = new LeaderElection(0);
        assertThat(candidacy.onLeaderCall(7, ms(1))).isTrue();
        assertThat(candidacy.onLeaderCall(6, ms(2))).isFalse();
        assertThat(candidacy.leaderSilenceMs(ms(2))).isEqualTo(1);
        assertThat(candidacy.highestToken()).isEqualTo(7);
    }
}
