package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.serving.ServerInstance;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ActiveServersTest {

    private static final ServerInstance ONE = ServingFixtures.server("one", "zone-a");
    private static final ServerInstance TWO =
            new ServerInstance("two", 0, 0, ServingFixtures.SERVICE, "127.0.0.1", 2, "z", 2, false);
    private static final ServerInstance LEAVING =
            new ServerInstance("two", 0, 0, ServingFixtures.SERVICE, "127.0.0.1", 2, "z", 2, true);
    private static final ServerInstance SUCCESSOR =
            new ServerInstance("three", 0, 0, "other", "127.0.0.1", 2, "z", 2, false);
    private static final long OUTAGE_MS = 5_000;

    private final ActiveServers roster = new ActiveServers();

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void aServerThatIsNoLongerListedIsGone() {
        roster.update(List.of(ONE, TWO), 0, 0);
        assertThat(roster.update(List.of(ONE), 0, ms(1))).containsExactly(ONE);
    }

    @Test
    void aServerThatLapsedInAnOutageIsKeptUntilItHadTimeToReturn() {
        roster.update(List.of(ONE, TWO), 0, 0);
        assertThat(roster.update(List.of(ONE), OUTAGE_MS, ms(1))).containsExactly(ONE, TWO);
        assertThat(roster.current(ms(1_900))).containsExactly(ONE, TWO);
        assertThat(roster.current(ms(2_100))).containsExactly(ONE);
    }

    @Test
    void aServerThatWasAboutToLeaveIsNotKept() {
        roster.update(List.of(ONE, LEAVING), 0, 0);
        assertThat(roster.update(List.of(ONE), OUTAGE_MS, ms(1))).containsExactly(ONE);
    }

    @Test
    void aServerWhoseAddressHasANewOwnerIsNotKept() {
        roster.update(List.of(ONE, TWO), 0, 0);
        assertThat(roster.update(List.of(ONE, SUCCESSOR), OUTAGE_MS, ms(1)))
                .containsExactly(ONE, SUCCESSOR);
    }

    @Test
    void aServerThatLapsesWithinTheGraceIsKeptToo() {
        roster.update(List.of(ONE, TWO), 0, 0);
        roster.update(List.of(ONE, TWO), OUTAGE_MS, ms(1));
        assertThat(roster.update(List.of(ONE), 0, ms(500))).containsExactly(ONE, TWO);
    }
}
