package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LeaderElectionTest {

    private static final long ELECTION_TIMEOUT_MS = 500;

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void lowRanksClaimFirst() {
        LeaderElection election = new LeaderElection(0);
        election.onLeaderCall(1, 0);
        assertThat(election.shouldClaimLease(3, ELECTION_TIMEOUT_MS, ms(ELECTION_TIMEOUT_MS)))
                .isFalse();
        assertThat(election.shouldClaimLease(0, ELECTION_TIMEOUT_MS, ms(ELECTION_TIMEOUT_MS)))
                .isTrue();
    }

    @Test
    void noTwoRanksOfALargeGroupClaimAtTheSameTime() {
        long last = 0;
        for (int rank = 0; rank < 72; rank++) {
            LeaderElection election = new LeaderElection(0);
            election.onLeaderCall(1, 0);
            long claimMs = ELECTION_TIMEOUT_MS;
            while (!election.shouldClaimLease(rank, ELECTION_TIMEOUT_MS, ms(claimMs))) {
                claimMs++;
            }
            assertThat(claimMs).isGreaterThan(last);
            last = claimMs;
        }
        assertThat(last).isLessThan(2_500);
    }

    @Test
    void anAgentWaitsForALeaderAtStartup() {
        LeaderElection election = new LeaderElection(0);
        assertThat(election.shouldClaimLease(0, ELECTION_TIMEOUT_MS, ms(250))).isFalse();
        assertThat(election.shouldClaimLease(0, ELECTION_TIMEOUT_MS, ms(300))).isTrue();
    }

    @Test
    void aClaimStartsABackoff() {
        LeaderElection election = new LeaderElection(0);
        assertThat(election.shouldClaimLease(0, ELECTION_TIMEOUT_MS, ms(2_000))).isTrue();
        assertThat(election.shouldClaimLease(0, ELECTION_TIMEOUT_MS, ms(2_100))).isFalse();
        assertThat(election.shouldClaimLease(0, ELECTION_TIMEOUT_MS, ms(2_700))).isTrue();
    }

    @Test
    void refusesALeaderWithAnOldToken() {
        LeaderElection election = new LeaderElection(0);
        assertThat(election.onLeaderCall(7, ms(1))).isTrue();
        assertThat(election.onLeaderCall(6, ms(2))).isFalse();
        assertThat(election.leaderSilenceMs(ms(2))).isEqualTo(1);
        assertThat(election.highestToken()).isEqualTo(7);
    }

    @Test
    void agentsThatAskEachOtherDoNotKeepALostLeaderAlive() {
        LeaderElection one = new LeaderElection(0);
        LeaderElection other = new LeaderElection(0);
        one.onLeaderCall(1, ms(0));
        other.onLeaderCall(1, ms(100));
        for (long nowMs = 500; nowMs < 2_000; nowMs += 100) {
            one.onLeaderSeenByPeer(other.leaderSilenceMs(ms(nowMs)), ms(nowMs));
            other.onLeaderSeenByPeer(one.leaderSilenceMs(ms(nowMs)), ms(nowMs));
        }
        assertThat(one.leaderSilenceMs(ms(2_000))).isEqualTo(1_900);
        assertThat(other.leaderSilenceMs(ms(2_000))).isEqualTo(1_900);
    }
}
