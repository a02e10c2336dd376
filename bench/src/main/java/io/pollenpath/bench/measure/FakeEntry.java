package io.pollenpath.bench.measure;

import io.pollenpath.coordination.routing.Candidates;
import io.pollenpath.coordination.routing.RouteRequest;
import io.pollenpath.coordination.routing.Router;
import io.pollenpath.coordination.routing.ServerStats;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Simulates an entry, which routes by cache reports that arrive late and incompletely. */
final class FakeEntry implements Candidates {

    private static final long CROSS_ZONE_LATENCY_NANOS = 500_000;
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MAX_REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);
    private static final double EVENT_LOSS_FRACTION = 0.2;

    private final Simulation simulation;
    private final int zone;
    private final List<FakeEngine> engines;
    private final Router router;
    private final SplittableRandom random;
    private final List<ServerStats> tracks = new ArrayList<>();

    FakeEntry(
            Simulation simulation,
            int zone,
            List<FakeEngine> engines,
            Router router,
            SplittableRandom random) {
        this.simulation = simulation;
        this.zone = zone;
        this.engines = engines;
        this.router = router;
        this.random = random;
        for (FakeEngine engine : engines) {
            ServerStats track = new ServerStats("e" + engine.index, "z" + engine.zone);
            tracks.add(track);
            simulation.scheduleEvery(
                    REPORT_INTERVAL_NANOS, () -> reportCachedPrefixes(engine, track));
        }
    }

    /**
     * Delivers the prefixes that an engine has cached now to the entry, up to 1.8 s later and with
     * a fifth of them lost.
     */
    private void reportCachedPrefixes(FakeEngine engine, ServerStats track) {
        long[] cachedPrefixes = engine.cachedPrefixes();
        long delayNanos = random.nextLong(MAX_REPORT_DELAY_NANOS);
        simulation.scheduleAfter(
                delayNanos,
                () -> {
                    for (long prefix : cachedPrefixes) {
                        if (random.nextDouble() >= EVENT_LOSS_FRACTION) {
                            track.onCached(prefix, simulation.nowNanos() - delayNanos);
                        }
                    }
                });
    }

    /**
     * Routes a request to an engine. The first-token time of the request includes the latency of
     * the link back to the entry.
     */
    void send(FakeRequest request, Runnable onFirstToken) {
        long sentNanos = simulation.nowNanos();
        RouteRequest route =
                new RouteRequest(
                        "z" + zone, request.costTokens(), request.prefixTokens, request.prefix);
        int chosenIndex = router.choose(route, this, sentNanos);
        FakeEngine engine = engines.get(chosenIndex);
        ServerStats track = tracks.get(chosenIndex);
        track.onSent(route, sentNanos);
        long linkLatencyNanos = engine.zone == zone ? 0 : CROSS_ZONE_LATENCY_NANOS;
        request.onFirstToken =
                () -> {
                    request.firstTokenNanos += linkLatencyNanos;
                    track.onFirstToken(
                            simulation.nowNanos() + linkLatencyNanos - sentNanos,
                            simulation.nowNanos());
                    onFirstToken.run();
                };
        request.onDone = () -> track.onEnded(route, simulation.nowNanos());
        request.onRefused = retryAfterMs -> track.onEnded(route, simulation.nowNanos());
        simulation.scheduleAfter(linkLatencyNanos, () -> engine.submit(request));
    }

    @Override
    public int size() {
        return engines.size();
    }

    @Override
    public boolean isUsable(int index) {
        return true;
    }

    @Override
    public ServerStats stats(int index) {
        return tracks.get(index);
    }
}
