package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CandidacyTest {

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void lowRanksTryFirst() {
        Candidacy candidacy = new Candidacy(0);
        candidacy.onLeader(1, 0);
        assertThat(candidacy.shouldTry(3, ms(Candidacy.SILENCE_MS))).isFalse();
        assertThat(candidacy.shouldTry(0, ms(Candidacy.SILENCE_MS))).isTrue();
    }

    @Test
    void aTryPutsTheNextOneOff() {
        Candidacy candidacy = new Candidacy(0);
        assertThat(candidacy.shouldTry(0, ms(2_000))).isTrue();
        assertThat(candidacy.shouldTry(0, ms(2_100))).isFalse();
        assertThat(candidacy.shouldTry(0, ms(2_700))).isTrue();
    }

    @Test
    void refusesALeaderWithAnOldToken() {
        Candidacy candidacy = new Candidacy(0);
        assertThat(candidacy.onLeader(7, ms(1))).isTrue();
        assertThat(candidacy.onLeader(6, ms(2))).isFalse();
        assertThat(candidacy.silentMs(ms(2))).isEqualTo(1);
        assertThat(candidacy.highestToken()).isEqualTo(7);
    }
}
