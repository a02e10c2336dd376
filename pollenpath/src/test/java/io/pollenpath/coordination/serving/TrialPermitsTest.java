package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.coordination.serving.TrialPermits.State;
import io.pollenpath.state.serving.CrashSuspect;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the permits for trials of one entry. */
class TrialPermitsTest {

    private static final CrashSuspect REQUEST = new CrashSuspect(1, 1);

    private final TrialPermits permits = new TrialPermits(new SplittableRandom(1));

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void permitEndsASetTimeAfterTheQuestion() {
        permits.onAsked(REQUEST, 0, ms(0));
        assertThat(permits.state(REQUEST, 0, ms(1))).isEqualTo(State.ASKED);
        permits.onResult(REQUEST, 0, true, ms(500));
        assertThat(permits.state(REQUEST, 0, ms(TrialPermits.PERMIT_MS - 1)))
                .isEqualTo(State.GRANTED);
        assertThat(permits.state(REQUEST, 0, ms(TrialPermits.PERMIT_MS))).isEqualTo(State.NONE);
    }

    @Test
    void resultAfterTheEndIsIgnored() {
        permits.onAsked(REQUEST, 0, ms(0));
        permits.onResult(REQUEST, 0, true, ms(TrialPermits.PERMIT_MS));
        assertThat(permits.state(REQUEST, 0, ms(TrialPermits.PERMIT_MS))).isEqualTo(State.NONE);
    }

    @Test
    void permitHoldsForOneTrialOnly() {
        permits.onAsked(REQUEST, 0, ms(0));
        permits.onResult(REQUEST, 0, true, ms(1));
        assertThat(permits.state(REQUEST, 1, ms(2))).isEqualTo(State.NONE);
    }

    @Test
    void asksAgainOnlyAfterABackoff() {
        permits.onAsked(REQUEST, 0, ms(0));
        permits.onResult(REQUEST, 0, false, ms(0));
        long justBeforeNanos = ms(TrialPermits.MIN_BACKOFF_MS - 1);
        assertThat(permits.state(REQUEST, 0, justBeforeNanos)).isEqualTo(State.REFUSED);
        assertThat(permits.retryAfterMs(REQUEST, justBeforeNanos)).isAtLeast(1);
        assertThat(permits.state(REQUEST, 0, ms(TrialPermits.MAX_BACKOFF_MS)))
                .isEqualTo(State.NONE);
    }

    @Test
    void startsNoTrialLaterThanItsPermitLasts() {
        long endNanos = TimeUnit.MILLISECONDS.toNanos(TrialPermits.PERMIT_MS);
        assertThat(TrialPermits.isInTime(0, endNanos - 1)).isTrue();
        assertThat(TrialPermits.isInTime(0, endNanos)).isFalse();
    }

    @Test
    void tellsCallersToComeBackSoonAfterManyRefusals() {
        long nowNanos = 0;
        for (int i = 0; i < 20; i++) {
            permits.onAsked(REQUEST, 0, nowNanos);
            permits.onResult(REQUEST, 0, false, nowNanos);
            long retryAfterMs = permits.retryAfterMs(REQUEST, nowNanos);
            assertThat(retryAfterMs).isAtLeast(TrialPermits.MIN_BACKOFF_MS - 1);
            assertThat(retryAfterMs).isAtMost(TrialPermits.MAX_BACKOFF_MS);
            nowNanos += TimeUnit.MINUTES.toNanos(5);
        }
    }
}
