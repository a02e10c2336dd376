package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when a service counts as working again after a crash. */
class ServiceRecoveriesTest {

    private static final String SERVICE = "drafts";

    private final ServiceRecoveries recoveries = new ServiceRecoveries();

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private boolean hasRecovered(long crashMs, long nowMs) {
        return recoveries.hasRecovered(SERVICE, Optional.of(ms(crashMs)), ms(nowMs));
    }

    @Test
    void answerToRequestThatWasSentBeforeTheCrashIsNoRecovery() {
        recoveries.onAnswer(SERVICE, ms(990));
        assertThat(hasRecovered(1_000, 1_100)).isFalse();
        recoveries.onAnswer(SERVICE, ms(1_010));
        assertThat(hasRecovered(1_000, 1_100)).isTrue();
    }

    @Test
    void waitsForOneServiceOnly() {
        recoveries.onAnswer("other", ms(1_010));
        assertThat(hasRecovered(1_000, 1_100)).isFalse();
    }

    @Test
    void waitsNotForever() {
        assertThat(hasRecovered(1_000, 1_000 + ServiceRecoveries.MAX_WAIT_MS)).isFalse();
        assertThat(hasRecovered(1_000, 1_001 + ServiceRecoveries.MAX_WAIT_MS)).isTrue();
        assertThat(recoveries.hasRecovered(SERVICE, Optional.empty(), ms(5))).isTrue();
    }
}
