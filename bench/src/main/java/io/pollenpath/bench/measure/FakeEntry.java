package io.pollenpath.bench.measure;

import io.pollenpath.coordination.routing.Candidates;
import io.pollenpath.coordination.routing.RouteRequest;
import io.pollenpath.coordination.routing.Router;
import io.pollenpath.coordination.routing.ServerStats;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Stands for an entry: routes over late, lossy cache events. */
final class FakeEntry implements Candidates {

    private static final long OTHER_ZONE_NANOS = 500_000;
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);
    private static final double LOST_EVENTS = 0.2;

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
            simulation.every(REPORT_NANOS, () -> report(engine, track));
        }
    }

    /** Takes a snapshot of an engine now and learns of it up to 1.8 s later. */
    private void report(FakeEngine engine, ServerStats track) {
        long[] cached = engine.cachedPrefixes();
        long delayNanos = random.nextLong(MAX_DELAY_NANOS);
        simulation.after(
                delayNanos,
                () -> {
                    for (long prefix : cached) {
                        if (random.nextDouble() >= LOST_EVENTS) {
                            track.onCached(prefix, simulation.nowNanos() - delayNanos);
                        }
                    }
                });
    }

    /** Routes a request; the time of its first token is that at the entry. */
    void send(FakeRequest request, Runnable onFirstToken) {
        long sentNanos = simulation.nowNanos();
        RouteRequest route =
                new RouteRequest(
                        "z" + zone, request.costTokens(), request.prefixTokens, request.prefix);
        int index = router.choose(route, this, sentNanos);
        FakeEngine engine = engines.get(index);
        ServerStats track = tracks.get(index);
        track.onSent(route, sentNanos);
        long linkNanos = engine.zone == zone ? 0 : OTHER_ZONE_NANOS;
        request.onFirstToken =
                () -> {
                    request.firstTokenNanos += linkNanos;
                    track.onFirstToken(
                            simulation.nowNanos() + linkNanos - sentNanos, simulation.nowNanos());
                    onFirstToken.run();
                };
        request.onDone = () -> track.onEnded(route, simulation.nowNanos());
        request.onRefused = retryAfterMs -> track.onEnded(route, simulation.nowNanos());
        simulation.after(linkNanos, () -> engine.submit(request));
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
