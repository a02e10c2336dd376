package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ServiceProgressTest {

    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final ServiceProgress progress = new ServiceProgress();

    @Test
    void isStalledBeforeTheFirstProgress() {
        assertThat(progress.isStalled(5 * MS)).isTrue();
        progress.onProgress(6 * MS);
        assertThat(progress.isStalled(6 * MS)).isFalse();
    }

    @Test
    void isStalledAfterAWhileWithoutProgress() {
        progress.onProgress(0);
        assertThat(progress.isStalled((ServiceProgress.STALL_MS - 1) * MS)).isFalse();
        assertThat(progress.isStalled(ServiceProgress.STALL_MS * MS)).isTrue();
    }

    @Test
    void letsALastChanceWaitWhileServersRefuse() {
        assertThat(progress.shouldLastChanceWait(0)).isFalse();
        progress.onRefused(0);
        assertThat(progress.shouldLastChanceWait(MS)).isTrue();
        assertThat(progress.shouldLastChanceWait(ServiceProgress.REFUSAL_MEMORY_MS * MS)).isFalse();
    }

    /** One full server is no reason to wait while others make progress. */
    @Test
    void sendsALastChanceWhileOtherServersMakeProgress() {
        progress.onRefused(0);
        progress.onProgress(MS);
        assertThat(progress.shouldLastChanceWait(2 * MS)).isFalse();
    }
}
