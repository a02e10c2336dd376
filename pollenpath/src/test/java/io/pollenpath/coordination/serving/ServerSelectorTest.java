package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.serving.ServerInstance;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ServerSelectorTest {

    private static final ServerInstance SAME_ZONE = ServingFixtures.server("near", "zone-a");
    private static final ServerInstance OTHER_ZONE = ServingFixtures.server("far", "zone-b");
    private static final List<ServerInstance> BOTH = List.of(OTHER_ZONE, SAME_ZONE);

    private final Map<String, ServerHealth> healthById = new HashMap<>();
    private final ServerLimits limits = new ServerLimits("entry-1", new Random(1));
    private final ServerSlowdowns slowdowns = new ServerSlowdowns();
    private final ServerSelector selector =
            new ServerSelector("zone-a", limits, slowdowns, new Random(1));

    private ServerHealth health(String id) {
        return healthById.computeIfAbsent(id, key -> new ServerHealth());
    }

    private Optional<ServerInstance> choose(
            Set<String> tried, boolean requireFreeSlot, long nowNanos) {
        return selector.choose(BOTH, Set.of(), this::health, tried, requireFreeSlot, nowNanos);
    }

    @Test
    void prefersTheSameZoneAtEqualLoad() {
        assertThat(choose(Set.of(), true, 0)).hasValue(SAME_ZONE);
    }

    @Test
    void prefersTheLessLoadedServer() {
        health("near").onSent(0);
        assertThat(choose(Set.of(), true, 0)).hasValue(OTHER_ZONE);
    }

    @Test
    void prefersTheServerWhoseStreamsPauseLess() {
        health("near").onEvent(300, 0);
        health("far").onEvent(60, 0);
        assertThat(choose(Set.of(), true, 0)).hasValue(OTHER_ZONE);
        health("far").onSent(0);
        assertThat(choose(Set.of(), true, 0)).hasValue(OTHER_ZONE);
    }

    /** The requests of a slow server would delay all servers of its group. */
    @Test
    void avoidsASlowServerWhileOthersHaveRoom() {
        ServerInstance slow = ServingFixtures.server("slow", "zone-a", 8, 2);
        ServerInstance usual = ServingFixtures.server("usual", "zone-b", 8, 3);
        slowdowns.onReport(new SlowdownReport(slow.address(), 12), 0);
        for (int i = 0; i < 7; i++) {
            health("usual").onSent(0);
        }
        List<ServerInstance> servers = List.of(slow, usual);
        assertThat(selector.choose(servers, Set.of(), this::health, Set.of(), true, 0))
                .hasValue(usual);
        health("usual").onSent(0);
        assertThat(selector.choose(servers, Set.of(), this::health, Set.of(), true, 0))
                .hasValue(slow);
    }

    @Test
    void ignoresSmallDifferencesOfPauses() {
        health("near").onEvent(80, 0);
        health("far").onEvent(60, 0);
        assertThat(choose(Set.of(), true, 0)).hasValue(SAME_ZONE);
    }

    @Test
    void leavesAServerWhoseStreamsHaveFallenSilent() {
        health("near").onSent(0);
        health("near").onEvent(60, 0);
        health("far").onSent(0);
        health("far").onEvent(60, 900_000_000L);
        health("far").onSent(0);
        assertThat(choose(Set.of(), false, 1_000_000_000L)).hasValue(OTHER_ZONE);
    }

    @Test
    void triesASlowServerAgainAfterAWhile() {
        health("near").onEvent(300, 0);
        health("far").onEvent(60, 10_000_000_000L);
        assertThat(choose(Set.of(), true, 10_000_000_000L)).hasValue(SAME_ZONE);
    }

    @Test
    void excludesServersThatWereTriedBefore() {
        assertThat(choose(Set.of("near"), true, 0)).hasValue(OTHER_ZONE);
        assertThat(choose(Set.of("near", "far"), true, 0)).isEmpty();
    }

    @Test
    void excludesFullServersOnlyIfAFreeSlotIsRequired() {
        for (String id : List.of("near", "far")) {
            health(id).onSent(0);
            health(id).onSent(0);
        }
        assertThat(choose(Set.of(), true, 0)).isEmpty();
        assertThat(choose(Set.of(), false, 0)).isPresent();
    }

    @Test
    void avoidsAServerForAWhileAfterAConnectionFailure() {
        health("near").onConnectionFailure(0);
        assertThat(choose(Set.of(), true, 1)).hasValue(OTHER_ZONE);
        assertThat(health("near").isAvoided(4_000_000_000L)).isFalse();
    }

    @Test
    void avoidsAServerThatFailsManyRequests() {
        for (int i = 0; i < 10; i++) {
            health("near").onFailure(0);
        }
        health("far").onSent(0);
        assertThat(choose(Set.of(), true, 0)).hasValue(OTHER_ZONE);
    }

    @Test
    void usesAnOutdatedServerOnlyIfNoOtherHasAFreeSlot() {
        health("far").onSent(0);
        Set<String> outdated = Set.of("near");
        assertThat(selector.choose(BOTH, outdated, this::health, Set.of(), true, 0))
                .hasValue(OTHER_ZONE);
        health("far").onSent(0);
        assertThat(selector.choose(BOTH, outdated, this::health, Set.of(), true, 0))
                .hasValue(SAME_ZONE);
    }
}
