package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class WatchElectionTest {

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final WatchElection election = new WatchElection("own", "a", 1, new Random(1), 0);

    @Test
    void lacksWatchersWithoutALiveSighting() {
        assertThat(election.lacksWatchers(0)).isTrue();
        election.recordSighting(new WatcherSighting("other", "a", 0), 0);
        assertThat(election.lacksWatchers(0)).isFalse();
        assertThat(election.lacksWatchers(15 * SECOND_NANOS)).isTrue();
    }

    @Test
    void watcherOfOtherZoneDoesNotCount() {
        election.recordSighting(new WatcherSighting("other", "b", 0), 0);
        assertThat(election.lacksWatchers(0)).isTrue();
    }

    @Test
    void attemptsInALargeZoneAreStaggered() {
        int due = 0;
        for (int seed = 0; seed < 100; seed++) {
            WatchElection candidate = new WatchElection("p" + seed, "a", 1, new Random(seed), 0);
            candidate.setZoneSize(100);
            candidate.shouldAttempt(0);
            due += candidate.shouldAttempt(SECOND_NANOS) ? 1 : 0;
        }
        assertThat(due).isAtMost(5);
    }

    @Test
    void attemptsAreRescheduledWhenTheZoneGrows() {
        int due = 0;
        for (int seed = 0; seed < 100; seed++) {
            WatchElection candidate = new WatchElection("p" + seed, "a", 1, new Random(seed), 0);
            candidate.shouldAttempt(0);
            candidate.setZoneSize(100);
            candidate.shouldAttempt(0);
            due += candidate.shouldAttempt(SECOND_NANOS) ? 1 : 0;
        }
        assertThat(due).isAtMost(5);
    }

    @Test
    void failedAttemptsBackOff() {
        long nowNanos = 0;
        int attempts = 0;
        while (nowNanos < 300 * SECOND_NANOS) {
            if (election.shouldAttempt(nowNanos)) {
                attempts++;
                election.attemptFailed(nowNanos);
            }
            nowNanos += SECOND_NANOS / 10;
        }
        assertThat(attempts).isAtLeast(5);
        assertThat(attempts).isAtMost(25);
    }

    @Test
    void onlyOneOfTwoWatchersStepsDown() {
        WatchElection other = new WatchElection("other", "a", 1, new Random(2), 0);
        for (int i = 0; i < 5; i++) {
            election.recordSighting(new WatcherSighting("other", "a", 0), i * SECOND_NANOS);
            other.recordSighting(new WatcherSighting("own", "a", 0), i * SECOND_NANOS);
            election.shouldStepDown(i * SECOND_NANOS);
            other.shouldStepDown(i * SECOND_NANOS);
        }
        boolean ownStepsDown = election.shouldStepDown(4 * SECOND_NANOS);
        boolean otherStepsDown = other.shouldStepDown(4 * SECOND_NANOS);
        assertThat(ownStepsDown).isNotEqualTo(otherStepsDown);
    }
}
