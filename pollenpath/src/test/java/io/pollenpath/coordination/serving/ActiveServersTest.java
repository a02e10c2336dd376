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
    private static final ServerInstance DRAINING =
            new ServerInstance("two", 0, 0, ServingFixtures.SERVICE, "127.0.0.1", 2, "z", 2, true);
    private static final ServerInstance SUCCESSOR =
            new ServerInstance("three", 0, 0, "other", "127.0.0.1", 2, "z", 2, false);
    private static final long OUTAGE_MS = 5_000;

    private final ActiveServers activeServers = new ActiveServers();

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void removesAServerThatIsNoLongerRegistered() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        assertThat(activeServers.update(List.of(ONE), 0, false, ms(1))).containsExactly(ONE);
    }

    @Test
    void keepsAServerWhoseRegistrationExpiredInAnOutageForTheGracePeriod() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        assertThat(activeServers.update(List.of(ONE), OUTAGE_MS, false, ms(1)))
                .containsExactly(ONE, TWO);
        assertThat(activeServers.current(ms(1_900))).containsExactly(ONE, TWO);
        assertThat(activeServers.current(ms(2_100))).containsExactly(ONE);
    }

    @Test
    void doesNotKeepADrainingServer() {
        activeServers.update(List.of(ONE, DRAINING), 0, false, 0);
        assertThat(activeServers.update(List.of(ONE), OUTAGE_MS, false, ms(1)))
                .containsExactly(ONE);
    }

    @Test
    void doesNotKeepAServerWhoseAddressWasTakenOver() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        assertThat(activeServers.update(List.of(ONE, SUCCESSOR), OUTAGE_MS, false, ms(1)))
                .containsExactly(ONE, SUCCESSOR);
    }

    @Test
    void keepsAServerWhoseRegistrationExpiresInTheGracePeriod() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        activeServers.update(List.of(ONE, TWO), OUTAGE_MS, false, ms(1));
        assertThat(activeServers.update(List.of(ONE), 0, false, ms(500))).containsExactly(ONE, TWO);
    }

    @Test
    void keepsAServerThatAnOlderCopyOfTheStoreLacksForTheGracePeriod() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        assertThat(activeServers.update(List.of(ONE), 0, true, ms(1))).containsExactly(ONE, TWO);
        assertThat(activeServers.current(ms(2_100))).containsExactly(ONE);
    }

    @Test
    void ignoresAServerThatLeftThoughAnOlderCopyOfTheStoreHasIt() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        activeServers.update(List.of(ONE), 0, false, ms(1_000));
        assertThat(activeServers.update(List.of(ONE, TWO), 0, true, ms(2_000)))
                .containsExactly(ONE);
        assertThat(activeServers.update(List.of(ONE, TWO), 0, false, ms(3_000)))
                .containsExactly(ONE);
        long endMs = 2_000 + ActiveServers.DEPARTED_MS;
        assertThat(activeServers.current(ms(endMs))).containsExactly(ONE, TWO);
    }

    @Test
    void ignoresADrainingServerThoughAnOlderCopyOfTheStoreHasItReady() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        activeServers.update(List.of(ONE, DRAINING), 0, false, ms(1_000));
        assertThat(activeServers.update(List.of(ONE, TWO), 0, true, ms(2_000)))
                .containsExactly(ONE);
    }

    @Test
    void usesAServerAgainThatRegisteredAgainBeforeTheStoreWentBack() {
        activeServers.update(List.of(ONE, TWO), 0, false, 0);
        activeServers.update(List.of(ONE), 0, false, ms(1_000));
        activeServers.update(List.of(ONE, TWO), 0, false, ms(2_000));
        assertThat(activeServers.update(List.of(ONE, TWO), 0, true, ms(3_000)))
                .containsExactly(ONE, TWO);
    }
}
