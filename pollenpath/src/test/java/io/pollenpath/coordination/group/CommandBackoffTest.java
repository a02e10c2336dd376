package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CommandBackoffTest {

    private static final int RANK = 3;
    private final CommandBackoff backoff = new CommandBackoff();

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void aRankThatNeverAnswersGetsFewCommandsInASecond() {
        int commands = 0;
        for (long nowMs = 0; nowMs < 1_000; nowMs++) {
            if (backoff.isDue(RANK, nanos(nowMs))) {
                commands++;
                backoff.onOutcome(RANK, false, nanos(nowMs));
            }
        }
        assertThat(commands).isAtMost(7);
    }

    @Test
    void theDelayIsNeverLongerThanItsMaximum() {
        fail(RANK, 40);
        assertThat(backoff.isDue(RANK, nanos(CommandBackoff.MAX_DELAY_MS))).isTrue();
    }

    @Test
    void anAcceptedCommandEndsTheDelay() {
        fail(RANK, 5);
        backoff.onOutcome(RANK, true, 1);
        fail(RANK, 2);
        assertThat(backoff.isDue(RANK, 3)).isFalse();
        assertThat(backoff.isDue(RANK, 2 + nanos(CommandBackoff.MIN_DELAY_MS))).isTrue();
    }

    @Test
    void theFirstRepeatIsSentAtOnce() {
        fail(RANK, 1);
        assertThat(backoff.isDue(RANK, 0)).isTrue();
    }

    private void fail(int rank, int times) {
        for (int time = 0; time < times; time++) {
            backoff.onOutcome(rank, false, 0);
        }
    }

    @Test
    void otherRanksAreNotDelayed() {
        fail(RANK, 3);
        assertThat(backoff.isDue(RANK + 1, 0)).isTrue();
    }
}
