package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SendProgressTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final SendProgress progress = new SendProgress();

    @Test
    void countsTheTimeSinceTheLastProgress() {
        progress.onSend(SECOND);
        assertThat(progress.silenceMs(3 * SECOND)).isEqualTo(2_000);
        progress.onProgress(4 * SECOND);
        assertThat(progress.silenceMs(5 * SECOND)).isEqualTo(1_000);
    }

    /** A caller that takes nothing for a while must not cost it its sound server. */
    @Test
    void countsNoSilenceWhileTheAnswerIsNotRead() {
        progress.onSend(SECOND);
        progress.setReading(false, 2 * SECOND);
        assertThat(progress.silenceMs(60 * SECOND)).isEqualTo(0);
        progress.setReading(true, 60 * SECOND);
        assertThat(progress.silenceMs(61 * SECOND)).isEqualTo(1_000);
    }

    @Test
    void countsAnewWithTheNextSend() {
        progress.onSend(SECOND);
        progress.setReading(false, 2 * SECOND);
        progress.onSend(3 * SECOND);
        assertThat(progress.silenceMs(5 * SECOND)).isEqualTo(2_000);
    }

    @Test
    void tellsTheGapBetweenTwoEventsThatWereReadInOneGo() {
        assertThat(progress.onEvent(SECOND)).isEqualTo(0);
        assertThat(progress.onEvent(3 * SECOND)).isEqualTo(2 * SECOND);
        progress.setReading(false, 4 * SECOND);
        progress.setReading(true, 9 * SECOND);
        assertThat(progress.onEvent(10 * SECOND)).isEqualTo(0);
        assertThat(progress.onEvent(11 * SECOND)).isEqualTo(SECOND);
    }

    @Test
    void tellsWhenTheFirstEventCameAndTheLongestGap() {
        assertThat(progress.firstEventMs(0)).isEqualTo(0);
        progress.onSend(SECOND);
        progress.onEvent(2 * SECOND);
        progress.onEvent(5 * SECOND);
        progress.onEvent(6 * SECOND);
        assertThat(progress.queuedMs(0, 7 * SECOND)).isEqualTo(1_000);
        assertThat(progress.firstEventMs(0)).isEqualTo(2_000);
        assertThat(progress.longestGapMs()).isEqualTo(3_000);
    }
}
