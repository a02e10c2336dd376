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

    private static final ServerInstance NEAR = ServingFixtures.server("near", "zone-a");
    private static final ServerInstance FAR = ServingFixtures.server("far", "zone-b");
    private static final List<ServerInstance> BOTH = List.of(FAR, NEAR);

    private final Map<String, ServerHealth> records = new HashMap<>();
    private final ServerSelector placement = new ServerSelector("zone-a", new Random(1));

    private ServerHealth record(String id) {
        return records.computeIfAbsent(id, key -> new ServerHealth());
    }

    private Optional<ServerInstance> choose(Set<String> tried, boolean room, long nowNanos) {
        return placement.choose(BOTH, Set.of(), this::record, tried, room, nowNanos);
    }

    @Test
    void prefersTheOwnZoneAtEqualLoad() {
        assertThat(choose(Set.of(), true, 0)).hasValue(NEAR);
    }

    @Test
    void prefersTheLessLoadedServer() {
        record("near").onSent();
        assertThat(choose(Set.of(), true, 0)).hasValue(FAR);
    }

    @Test
    void leavesOutServersThatHadTheRequest() {
        assertThat(choose(Set.of("near"), true, 0)).hasValue(FAR);
        assertThat(choose(Set.of("near", "far"), true, 0)).isEmpty();
    }

    @Test
    void leavesOutFullServersUnlessTheRequestWasSentBefore() {
        for (String id : List.of("near", "far")) {
            record(id).onSent();
            record(id).onSent();
        }
        assertThat(choose(Set.of(), true, 0)).isEmpty();
        assertThat(choose(Set.of(), false, 0)).isPresent();
    }

    @Test
    void avoidsABrokenServerForAWhile() {
        record("near").onConnectionFailure(0);
        assertThat(choose(Set.of(), true, 1)).hasValue(FAR);
        assertThat(record("near").isAvoided(4_000_000_000L)).isFalse();
    }

    @Test
    void avoidsAServerThatFailsManyRequestsWhileItIsHealthy() {
        for (int i = 0; i < 10; i++) {
            record("near").onFailure();
        }
        record("far").onSent();
        assertThat(choose(Set.of(), true, 0)).hasValue(FAR);
    }

    @Test
    void usesAnOutdatedServerOnlyWhereNoOtherHasRoom() {
        record("far").onSent();
        Set<String> outdated = Set.of("near");
        assertThat(placement.choose(BOTH, outdated, this::record, Set.of(), true, 0)).hasValue(FAR);
        record("far").onSent();
        assertThat(placement.choose(BOTH, outdated, this::record, Set.of(), true, 0))
                .hasValue(NEAR);
    }
}
