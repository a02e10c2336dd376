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
    private static final long HEARTBEAT_MS = 1_200;
    private static final long DRAIN_MS = 2_000;
    private static final StoreOutage OUTAGE = new StoreOutage(5_000, ms(1));

    private final ActiveServers activeServers = new ActiveServers(HEARTBEAT_MS, DRAIN_MS);

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Test
    void removesAServerThatIsNoLongerRegistered() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        assertThat(activeServers.update(List.of(ONE), StoreOutage.NONE, false, ms(1)))
                .containsExactly(ONE);
    }

    @Test
    void keepsAServerWhoseRegistrationExpiredInAnOutageForTheGracePeriod() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        assertThat(activeServers.update(List.of(ONE), OUTAGE, false, ms(1)))
                .containsExactly(ONE, TWO);
        assertThat(activeServers.current(ms(1_900))).containsExactly(ONE, TWO);
        assertThat(activeServers.current(ms(2_100))).containsExactly(ONE);
    }

    @Test
    void doesNotKeepADrainingServer() {
        activeServers.update(List.of(ONE, DRAINING), StoreOutage.NONE, false, 0);
        assertThat(activeServers.update(List.of(ONE), OUTAGE, false, ms(1))).containsExactly(ONE);
    }

    @Test
    void doesNotKeepAServerWhoseAddressWasTakenOver() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        assertThat(activeServers.update(List.of(ONE, SUCCESSOR), OUTAGE, false, ms(1)))
                .containsExactly(ONE, SUCCESSOR);
    }

    @Test
    void keepsAServerWhoseRegistrationExpiresInTheGracePeriod() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        activeServers.update(List.of(ONE, TWO), OUTAGE, false, ms(1));
        assertThat(activeServers.update(List.of(ONE), OUTAGE, false, ms(500)))
                .containsExactly(ONE, TWO);
    }

    /** Guards against a removed server that is kept for the time of a registration each time. */
    @Test
    void theTimeToRegisterAgainBeginsWhenTheStoreIsBack() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        activeServers.update(List.of(ONE, TWO), OUTAGE, false, ms(1));
        activeServers.update(List.of(ONE), OUTAGE, false, ms(1_500));
        assertThat(activeServers.nextEndNanos()).hasValue(ms(1) + ms(1_900));
        assertThat(activeServers.current(ms(1_901))).containsExactly(ONE);
        assertThat(activeServers.nextEndNanos()).isEmpty();
    }

    /** Guards against a server that left long after an outage and is kept because of it. */
    @Test
    void aServerThatLeavesAfterThatTimeIsNotKept() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        assertThat(activeServers.update(List.of(ONE), OUTAGE, false, ms(1_901)))
                .containsExactly(ONE);
    }

    /** Guards against a server that is kept for longer by each outage that follows. */
    @Test
    void furtherOutagesDoNotKeepAMissingServerLonger() {
        activeServers.update(List.of(ONE, TWO), OUTAGE, false, ms(1));
        activeServers.update(List.of(ONE), OUTAGE, false, ms(1));
        for (long i = 1; i <= 4; i++) {
            StoreOutage next = new StoreOutage(5_000, ms(400 * i));
            activeServers.update(List.of(ONE), next, false, ms(400 * i));
        }
        assertThat(activeServers.current(ms(1_901))).containsExactly(ONE);
    }

    /** Guards against an outage in which no registration can expire and that keeps servers. */
    @Test
    void anOutageShorterThanARegistrationKeepsNoServer() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        StoreOutage shorter = new StoreOutage(HEARTBEAT_MS, ms(1));
        assertThat(activeServers.update(List.of(ONE), shorter, false, ms(1))).containsExactly(ONE);
    }

    /** Guards against a missing server that is used for as long as it serves, or longer. */
    @Test
    void aMissingServerIsNotKeptForAsLongAsItServes() {
        ActiveServers leavingSoon = new ActiveServers(HEARTBEAT_MS, 1_000);
        leavingSoon.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        leavingSoon.update(List.of(ONE), OUTAGE, false, ms(1));
        assertThat(leavingSoon.nextEndNanos()).hasValue(ms(1) + ms(900));
    }

    @Test
    void keepsAServerThatAnOlderCopyOfTheStoreLacksForTheGracePeriod() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        assertThat(activeServers.update(List.of(ONE), StoreOutage.NONE, true, ms(1)))
                .containsExactly(ONE, TWO);
        assertThat(activeServers.current(ms(2_100))).containsExactly(ONE);
    }

    @Test
    void ignoresAServerThatLeftThoughAnOlderCopyOfTheStoreHasIt() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        activeServers.update(List.of(ONE), StoreOutage.NONE, false, ms(1_000));
        assertThat(activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, true, ms(2_000)))
                .containsExactly(ONE);
        assertThat(activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, ms(3_000)))
                .containsExactly(ONE);
        long endMs = 2_000 + ActiveServers.DEPARTED_MS;
        assertThat(activeServers.current(ms(endMs))).containsExactly(ONE, TWO);
    }

    @Test
    void ignoresADrainingServerThoughAnOlderCopyOfTheStoreHasItReady() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        activeServers.update(List.of(ONE, DRAINING), StoreOutage.NONE, false, ms(1_000));
        assertThat(activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, true, ms(2_000)))
                .containsExactly(ONE);
    }

    @Test
    void usesAServerAgainThatRegisteredAgainBeforeTheStoreWentBack() {
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, 0);
        activeServers.update(List.of(ONE), StoreOutage.NONE, false, ms(1_000));
        activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, false, ms(2_000));
        assertThat(activeServers.update(List.of(ONE, TWO), StoreOutage.NONE, true, ms(3_000)))
                .containsExactly(ONE, TWO);
    }
}
