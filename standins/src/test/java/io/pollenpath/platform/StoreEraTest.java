package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which answers of the store are used, and when its era counts as changed. */
class StoreEraTest {

    private final StoreEra era = new StoreEra();
    private final AtomicInteger changes = new AtomicInteger();

    @BeforeEach
    void countChanges() {
        era.onChange(changes::incrementAndGet);
    }

    private boolean answer(String text, long atMs) {
        return era.onAnswer(text, "GET /x", TimeUnit.MILLISECONDS.toNanos(atMs));
    }

    @Test
    void firstEraIsNoChange() {
        assertThat(answer("3", 0)).isTrue();
        assertThat(answer("3", 1)).isTrue();
        assertThat(changes.get()).isEqualTo(0);
        assertThat(era.current()).isEqualTo(3);
    }

    @Test
    void secondEraIsAChangeAlsoIfTheFirstIsZeroOrWasNotNamed() {
        answer("0", 0);
        answer("1", 1);
        assertThat(changes.get()).isEqualTo(1);
        StoreEra unnamed = new StoreEra();
        unnamed.onChange(changes::incrementAndGet);
        unnamed.onAnswer(null, "GET /x", 0);
        unnamed.onAnswer("1", "GET /x", 1);
        assertThat(changes.get()).isEqualTo(2);
    }

    @Test
    void higherEraIsAChangeAndEarlierAnswersAreNotUsed() {
        answer("3", 0);
        assertThat(answer("4", 1)).isTrue();
        assertThat(changes.get()).isEqualTo(1);
        assertThat(answer("3", 2)).isFalse();
        assertThat(era.current()).isEqualTo(4);
        assertThat(changes.get()).isEqualTo(1);
    }

    @Test
    void lowerEraCountsOnceNoHigherOneHasComeForSeconds() {
        answer("4", 0);
        assertThat(answer("3", 5_000)).isFalse();
        assertThat(answer("3", 5_001)).isTrue();
        assertThat(era.current()).isEqualTo(3);
        assertThat(changes.get()).isEqualTo(1);
    }

    @Test
    void missingAndUnreadableErasChangeNothing() {
        answer("4", 0);
        assertThat(answer(null, 1)).isTrue();
        assertThat(answer("soon", 2)).isTrue();
        assertThat(answer("-7", 3)).isTrue();
        assertThat(answer("9999999999999999999999", 4)).isTrue();
        assertThat(era.current()).isEqualTo(4);
        assertThat(changes.get()).isEqualTo(0);
    }
}
