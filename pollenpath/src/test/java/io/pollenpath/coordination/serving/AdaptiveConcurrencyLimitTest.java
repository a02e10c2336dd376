package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class AdaptiveConcurrencyLimitTest {

    private static final double EMPTY_PASS_MS = 18;
    private static final double OBJECTIVE_MS = 120;

    /** What one stream more on all engines adds to a pass. */
    private static final double PER_STREAM_MS = 1.1;

    @Test
    void admitsAllBeforeTheFirstEvent() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(EMPTY_PASS_MS);
        assertThat(limit.admits(1_000, 8)).isTrue();
    }

    @Test
    void admitsNoneBeyondTheFloorWhenPassesAreTooLong() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(EMPTY_PASS_MS);
        for (int i = 0; i < 200; i++) {
            limit.onGap(200, OBJECTIVE_MS, 20);
        }
        assertThat(limit.admits(19, 32)).isFalse();
        assertThat(limit.admits(7, 32)).isTrue();
    }

    @Test
    void ignoresStreamsWithoutAnObjective() {
        AdaptiveConcurrencyLimit limit = new AdaptiveConcurrencyLimit(EMPTY_PASS_MS);
        limit.onGap(500, 0, 20);
        assertThat(limit.admits(1_000, 8)).isTrue();
    }

    /**
     * Plays four entries with unequal demand, twice what the group can carry: the pass settles
     * below the objective and above half of it, and every entry keeps streams.
     */
    @Test
    void entriesSettleOnOnePassTimeWithoutExchange() {
        int[] demand = {90, 60, 40, 20};
        int[] inFlight = new int[demand.length];
        AdaptiveConcurrencyLimit[] limits = new AdaptiveConcurrencyLimit[demand.length];
        Arrays.setAll(limits, i -> new AdaptiveConcurrencyLimit(EMPTY_PASS_MS));
        double passMs = EMPTY_PASS_MS;
        for (int pass = 0; pass < 400; pass++) {
            passMs = EMPTY_PASS_MS + PER_STREAM_MS * IntStream.of(inFlight).sum();
            for (int entry = 0; entry < demand.length; entry++) {
                for (int stream = 0; stream < inFlight[entry]; stream++) {
                    limits[entry].onGap(passMs, OBJECTIVE_MS, inFlight[entry]);
                }
                // A twentieth of the streams ends with each pass.
                inFlight[entry] -= (inFlight[entry] + 19) / 20;
                while (inFlight[entry] < demand[entry]
                        && limits[entry].admits(inFlight[entry], 32)) {
                    inFlight[entry]++;
                }
            }
        }
        assertThat(passMs).isAtMost(OBJECTIVE_MS);
        assertThat(passMs).isAtLeast(OBJECTIVE_MS / 2);
        for (int entry = 0; entry < demand.length; entry++) {
            assertWithMessage("entry %s", entry).that(inFlight[entry]).isAtLeast(5);
        }
    }
}
