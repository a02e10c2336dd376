package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class QueueTimeoutsTest {

    private static final long TIME_LEFT_MS = 8_000;
    private static final int CALLERS = 1_000;

    private final Random random = new Random(1);

    private long returnAfterMs(double expectedWaitMs, long silentMs) {
        return QueueTimeouts.retryAfterMs(expectedWaitMs, silentMs, TIME_LEFT_MS, random);
    }

    @Test
    void callersComeBackSpreadOverTheTimeThatTheQueueTakes() {
        for (int i = 0; i < CALLERS; i++) {
            long ms = returnAfterMs(400, 0);
            assertThat(ms).isAtLeast(400);
            assertThat(ms).isAtMost(800);
        }
    }

    /** Plays a group that stands still: callers return once it may have formed anew, spread out. */
    @Test
    void callersOfAStandingGroupAreNotSentBackAtOnce() {
        long first = Long.MAX_VALUE;
        long last = 0;
        for (int i = 0; i < CALLERS; i++) {
            long ms = returnAfterMs(0, QueueTimeouts.STALL_MS);
            first = Math.min(first, ms);
            last = Math.max(last, ms);
        }
        assertThat(first).isAtLeast(1_500);
        assertThat(last - first).isAtLeast(500);
        assertThat(last).isAtMost(TIME_LEFT_MS / 3);
    }

    @Test
    void noCallerWaitsLongerThanItWould() {
        assertThat(QueueTimeouts.retryAfterMs(9_000, 0, 900, random)).isAtMost(300);
        assertThat(QueueTimeouts.retryAfterMs(9_000, 0, -5, random)).isEqualTo(0);
    }

    @Test
    void aRequestWaitsOnlyPartOfItsTime() {
        assertThat(QueueTimeouts.maxQueueMs(TIME_LEFT_MS)).isEqualTo(1_600);
        assertThat(QueueTimeouts.maxQueueMs(-1)).isEqualTo(0);
    }
}
