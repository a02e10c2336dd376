package io.pollenpath.bench.measure;

import io.pollenpath.coordination.queue.FifoQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Measures the saturated throughput of a group of simulated engines. */
final class EngineCapacity {

    private static final double SATURATING_REQUESTS_PER_SECOND = 60;
    private static final int MAX_QUEUED = 64;
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long END_NANOS = TimeUnit.SECONDS.toNanos(25);

    private EngineCapacity() {}

    /**
     * Returns the requests per second that all engines together complete under least-load routing.
     */
    static double requestsPerSecond(int engineCount, long seed) {
        Simulation simulation = new Simulation();
        List<FakeEngine> engines = new ArrayList<>();
        for (int i = 0; i < engineCount; i++) {
            engines.add(new FakeEngine(i, 0, simulation, new FifoQueue(MAX_QUEUED)));
        }
        int[] completed = new int[1];
        FakeCallers callers =
                new FakeCallers(
                        simulation,
                        FakeCustomer.ALL.get(0),
                        "",
                        new SplittableRandom(seed),
                        false,
                        request -> {
                            request.onDone = () -> completed[0]++;
                            engines.stream()
                                    .min(Comparator.comparingInt(FakeEngine::load))
                                    .get()
                                    .submit(request);
                        });
        callers.start(SATURATING_REQUESTS_PER_SECOND * engineCount);
        simulation.runUntil(WARM_UP_NANOS);
        completed[0] = 0;
        simulation.runUntil(END_NANOS);
        return completed[0] / ((END_NANOS - WARM_UP_NANOS) / 1e9);
    }
}
