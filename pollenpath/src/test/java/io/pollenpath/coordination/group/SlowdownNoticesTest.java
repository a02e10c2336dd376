package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SlowdownNoticesTest {

    private static final long REPEAT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(SlowdownNotices.REPEAT_MS);

    private final SlowdownNotices notices = new SlowdownNotices();

    @Test
    void tellsNothingOfAnEngineThatWorksAsUsual() {
        assertThat(notices.onReport(1, 0).isPresent()).isFalse();
        assertThat(notices.onReport(1.4, 5 * REPEAT_NANOS).isPresent()).isFalse();
    }

    @Test
    void tellsOfASlowEngineAtOnceAndAtIntervals() {
        assertThat(notices.onReport(12, 0).getAsDouble()).isEqualTo(12);
        assertThat(notices.onReport(12, REPEAT_NANOS - 1).isPresent()).isFalse();
        assertThat(notices.onReport(12, REPEAT_NANOS).getAsDouble()).isEqualTo(12);
    }

    @Test
    void tellsAtOnceOfAChange() {
        notices.onReport(12, 0);
        assertThat(notices.onReport(5, 1).getAsDouble()).isEqualTo(5);
        assertThat(notices.onReport(1, 2).getAsDouble()).isEqualTo(1);
        assertThat(notices.onReport(1, 9 * REPEAT_NANOS).isPresent()).isFalse();
    }
}
