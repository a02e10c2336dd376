package io.pollenpath.coordination.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ExpectedStartRouterTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long PREFIX = 42;
    private static final RouteRequest REQUEST = new RouteRequest("z0", 500, 200, PREFIX);

    private final List<ServerStats> tracks = new ArrayList<>();
    private final Set<Integer> closed = new HashSet<>();
    private final Router router = ExpectedStartRouter.create(new SplittableRandom(1));
    private final Candidates candidates =
            new Candidates() {
                @Override
                public int size() {
                    return tracks.size();
                }

                @Override
                public boolean isUsable(int index) {
                    return !closed.contains(index);
                }

                @Override
                public ServerStats stats(int index) {
                    return tracks.get(index);
                }
            };

    private void addServers(int count) {
        for (int i = 0; i < count; i++) {
            tracks.add(new ServerStats("s" + i, "z" + i % 3));
        }
    }

    @Test
    void prefersTheServerThatHoldsThePrefixUntilItsWorkOutweighsTheSaving() {
        addServers(3);
        tracks.get(2).onCached(PREFIX, 0);
        assertThat(router.choose(REQUEST, candidates, 1)).isEqualTo(2);
        for (int i = 0; i < 10; i++) {
            tracks.get(2).onSent(REQUEST, 1);
        }
        assertThat(router.choose(REQUEST, candidates, 1)).isNotEqualTo(2);
    }

    @Test
    void prefersItsOwnZoneWhenNothingElseDiffers() {
        addServers(3);
        assertThat(router.choose(REQUEST, candidates, 0)).isEqualTo(0);
    }

    @Test
    void choosesNoServerThatIsClosedAndNoneIfAllAre() {
        addServers(2);
        closed.add(0);
        assertThat(router.choose(REQUEST, candidates, 0)).isEqualTo(1);
        closed.add(1);
        assertThat(router.choose(REQUEST, candidates, 0)).isEqualTo(Router.NONE);
    }

    @Test
    void stalledServerGetsOneProbeASecond() {
        addServers(2);
        tracks.get(0).onSent(new RouteRequest("z0", 1, 0, 0), 0);
        for (int i = 0; i < 50; i++) {
            tracks.get(1).onSent(REQUEST, 0);
        }
        tracks.get(1).onFirstToken(1, SECOND);
        assertThat(router.choose(REQUEST, candidates, SECOND + 1)).isEqualTo(0);
        tracks.get(0).onSent(new RouteRequest("z0", 1, 0, 0), SECOND + 1);
        assertThat(router.choose(REQUEST, candidates, SECOND + 2)).isEqualTo(1);
        tracks.get(0).onEnded(new RouteRequest("z0", 1, 0, 0), SECOND + 3);
        assertThat(router.choose(REQUEST, candidates, SECOND + 4)).isEqualTo(0);
    }

    @Test
    void findsTheOnlyUsableServerAmongMany() {
        addServers(620);
        for (int i = 0; i < 620; i++) {
            closed.add(i);
        }
        closed.remove(333);
        assertThat(router.choose(REQUEST, candidates, 0)).isEqualTo(333);
    }
}
