package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SendWindowTest {

    @ParameterizedTest
    @CsvSource({"72, 2900, 700000", "128, 35000, 1750000", "16, 400, 1750000", "4, 90000, 100000"})
    void linkCarriesAllMessagesInFlightWithinTheirTimeout(
            int ranks, int bodyBytes, double linkBytesPerSecond) {
        SendWindow window = new SendWindow(linkBytesPerSecond);
        int inFlight = 0;
        while (inFlight < ranks && window.tryAcquire(bodyBytes)) {
            inFlight++;
        }
        double linkMs = 1_000.0 * inFlight * bodyBytes / linkBytesPerSecond;
        assertThat(inFlight).isAtLeast(1);
        assertThat(linkMs).isLessThan((double) window.timeoutMs());
    }

    @Test
    void commandsWithoutMapGoToAllRanksAtOnce() {
        SendWindow window = new SendWindow(700_000);
        for (int rank = 0; rank < 72; rank++) {
            assertThat(window.tryAcquire(60)).isTrue();
        }
    }

    @Test
    void releasedRoomIsUsedAgain() {
        SendWindow window = new SendWindow(10_000);
        assertThat(window.tryAcquire(500)).isTrue();
        assertThat(window.tryAcquire(500)).isFalse();
        window.release(500);
        assertThat(window.tryAcquire(500)).isTrue();
    }

    @Test
    void rejectsALinkWithoutBandwidth() {
        assertThrows(IllegalArgumentException.class, () -> new SendWindow(0));
    }
}
