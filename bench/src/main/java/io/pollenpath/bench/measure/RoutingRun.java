package io.pollenpath.bench.measure;

import io.pollenpath.coordination.queue.FairAdmissionQueue;
import io.pollenpath.coordination.queue.QueueLimits;
import io.pollenpath.coordination.routing.Router;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

/**
 * Simulates ten customers whose requests several entries route to sixteen engines with one routing
 * policy.
 */
final class RoutingRun {

    private static final int ENGINES = 16;
    private static final int ZONES = 3;
    private static final int MAX_QUEUED = 256;
    private static final double LOAD = 0.85;
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long SLOW_FROM_NANOS = TimeUnit.SECONDS.toNanos(15);
    private static final long SLOW_UNTIL_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final double SLOWDOWN = 8;
    private static final long END_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Simulation simulation = new Simulation();
    private final DurationSamples firstTokenTimes = new DurationSamples();
    private final Set<Long> seenPrefixes = new HashSet<>();
    private long count;
    private long hits;
    private long possibleHits;

    /**
     * Runs the simulation to its end.
     *
     * @param newRouter creates the router of an entry
     * @param entryCount the number of entries; each request goes to a random one
     * @param oneSlow whether one engine's steps take eight times as long for five seconds
     * @param seed the seed of every random choice
     */
    RoutingRun(
            BiFunction<List<FakeEngine>, SplittableRandom, Router> newRouter,
            int entryCount,
            boolean oneSlow,
            long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double capacity = EngineCapacity.requestsPerSecond(ENGINES, seed);
        List<FakeEngine> engines = engines(random);
        List<FakeEntry> entries = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            Router router = newRouter.apply(engines, random.split());
            entries.add(new FakeEntry(simulation, i % ZONES, engines, router, random.split()));
        }
        SplittableRandom balancerRandom = random.split();
        for (FakeCustomer customer : FakeCustomer.ALL) {
            FakeCallers callers =
                    new FakeCallers(
                            simulation,
                            customer,
                            "",
                            random.split(),
                            false,
                            request ->
                                    send(request, entries.get(balancerRandom.nextInt(entryCount))));
            callers.start(LOAD * capacity * customer.share());
        }
        if (oneSlow) {
            simulation.scheduleAfter(SLOW_FROM_NANOS, () -> engines.get(0).setSlowdown(SLOWDOWN));
            simulation.scheduleAfter(SLOW_UNTIL_NANOS, () -> engines.get(0).setSlowdown(1));
        }
        simulation.runUntil(END_NANOS);
    }

    private List<FakeEngine> engines(SplittableRandom random) {
        List<FakeEngine> engines = new ArrayList<>();
        QueueLimits limits = QueueLimits.of(MAX_QUEUED, FakeEngine.MAX_BATCH);
        for (int i = 0; i < ENGINES; i++) {
            FairAdmissionQueue queue = new FairAdmissionQueue(limits, random.split());
            engines.add(new FakeEngine(i, i % ZONES, simulation, queue));
        }
        return engines;
    }

    private void send(FakeRequest request, FakeEntry entry) {
        boolean seenBefore = !seenPrefixes.add(request.prefix);
        boolean counted = simulation.nowNanos() >= WARM_UP_NANOS;
        entry.send(
                request,
                () -> {
                    if (counted) {
                        firstTokenTimes.add(request.firstTokenNanos - request.arrivedNanos);
                        count++;
                        hits += request.prefixHit ? 1 : 0;
                        possibleHits += seenBefore ? 1 : 0;
                    }
                });
    }

    DurationSamples firstTokenTimes() {
        return firstTokenTimes;
    }

    /** Returns the prefix cache hits divided by those of a single cache without eviction. */
    double relativeHitRate() {
        return (double) hits / possibleHits;
    }

    long count() {
        return count;
    }
}
