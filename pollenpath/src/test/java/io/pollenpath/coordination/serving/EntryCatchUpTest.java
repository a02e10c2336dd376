package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests whether an entry knows that it lacks what the others know. */
class EntryCatchUpTest {

    private static final Set<String> OTHERS = Set.of("10.0.0.1:80", "10.0.0.2:80");

    private final EntryCatchUp catchUp = new EntryCatchUp(0);

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private void tickUntil(long endMs) {
        for (long atMs = 0; atMs <= endMs; atMs += 20) {
            catchUp.onTick(ms(atMs));
        }
    }

    @BeforeEach
    void expectEntries() {
        catchUp.expectEntries();
    }

    @Test
    void waitsForNobodyWithoutConnectionToOthers() {
        assertThat(new EntryCatchUp(0).isBehind(ms(10))).isFalse();
    }

    @Test
    void isBehindUntilAllOtherEntriesHaveAnsweredOrFailed() {
        catchUp.onReady(ms(100));
        tickUntil(200);
        assertThat(catchUp.isBehind(ms(200))).isTrue();
        catchUp.onEntries(OTHERS);
        assertThat(catchUp.onCalled("10.0.0.1:80", true)).isFalse();
        assertThat(catchUp.isBehind(ms(210))).isTrue();
        assertThat(catchUp.onCalled("10.0.0.2:80", false)).isTrue();
        assertThat(catchUp.isBehind(ms(210))).isFalse();
        assertThat(catchUp.answered()).isEqualTo(1);
    }

    @Test
    void waitsForEntriesThatDoNotAnswerNoLongerThanASecond() {
        tickUntil(5_000);
        assertThat(catchUp.isBehind(ms(5_000))).isTrue();
        catchUp.onReady(ms(5_000));
        catchUp.onEntries(OTHERS);
        tickUntil(6_000);
        assertThat(catchUp.isBehind(ms(5_999))).isTrue();
        assertThat(catchUp.isBehind(ms(6_000))).isFalse();
    }

    @Test
    void waitsForNoEntryThatHasGoneOrComesLater() {
        catchUp.onReady(0);
        catchUp.onEntries(OTHERS);
        catchUp.onCalled("10.0.0.1:80", true);
        catchUp.onEntries(Set.of("10.0.0.1:80", "10.0.0.3:80"));
        assertThat(catchUp.isBehind(ms(10))).isFalse();
    }

    @Test
    void isBehindAgainAfterAPause() {
        catchUp.onReady(0);
        catchUp.onEntries(OTHERS);
        OTHERS.forEach(other -> catchUp.onCalled(other, true));
        tickUntil(2_000);
        assertThat(catchUp.isBehind(ms(3_500))).isTrue();
        assertThat(catchUp.onTick(ms(3_500))).isTrue();
        assertThat(catchUp.isBehind(ms(3_510))).isTrue();
        OTHERS.forEach(other -> catchUp.onCalled(other, true));
        assertThat(catchUp.isBehind(ms(3_510))).isFalse();
        assertThat(catchUp.onTick(ms(3_520))).isFalse();
    }
}
