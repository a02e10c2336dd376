package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import io.pollenpath.coordination.routing.ExpectedStartRouter;
import io.pollenpath.coordination.routing.LeastInFlightRouter;
import io.pollenpath.coordination.routing.RandomRouter;
import io.pollenpath.coordination.routing.RoundRobinRouter;
import io.pollenpath.coordination.routing.Router;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** Measures the time to first token of each routing policy when cache reports arrive late. */
final class RoutingMeasurement implements Measurement {

    private static final int SEEDS = 5;
    private static final int ENTRIES = 3;
    private static final int MANY_ENTRIES = 30;
    private static final double P50 = 0.5;
    private static final double P99 = 0.99;
    private static final double MAX_RATIO_TO_PERFECT = 1.15;
    private static final double MAX_RATIO_TO_ROUND_ROBIN = 0.5;
    private static final double PERFECT_MISS_WEIGHT = 24;

    /** The median and p99 time to first token of one policy over all seeds, in milliseconds. */
    private record Result(double p50Ms, double p99Ms) {}

    @Override
    public void run(BenchOptions options, MeasurementReport report) {
        Map<String, BiFunction<List<FakeEngine>, SplittableRandom, Router>> policies =
                new LinkedHashMap<>();
        policies.put("round_robin", (engines, random) -> new RoundRobinRouter());
        policies.put("random", (engines, random) -> new RandomRouter(random));
        policies.put("least_in_flight", (engines, random) -> new LeastInFlightRouter());
        policies.put(
                "perfect", (engines, random) -> new PerfectRouter(engines, PERFECT_MISS_WEIGHT));
        policies.put("chosen", (engines, random) -> ExpectedStartRouter.create(random));
        Map<String, Result> results = new LinkedHashMap<>();
        policies.forEach(
                (name, newRouter) -> {
                    results.put(name, measure(name, newRouter, ENTRIES, false, options, report));
                    measure(name, newRouter, ENTRIES, true, options, report);
                    measure(name, newRouter, MANY_ENTRIES, false, options, report);
                });
        Result chosen = results.get("chosen");
        Result perfect = results.get("perfect");
        Result roundRobin = results.get("round_robin");
        report.checkAtMost(
                "p50_over_perfect", chosen.p50Ms() / perfect.p50Ms(), MAX_RATIO_TO_PERFECT);
        report.checkAtMost(
                "p99_over_perfect", chosen.p99Ms() / perfect.p99Ms(), MAX_RATIO_TO_PERFECT);
        report.checkAtMost(
                "p50_over_round_robin",
                chosen.p50Ms() / roundRobin.p50Ms(),
                MAX_RATIO_TO_ROUND_ROBIN);
        report.checkAtMost(
                "p99_over_round_robin",
                chosen.p99Ms() / roundRobin.p99Ms(),
                MAX_RATIO_TO_ROUND_ROBIN);
    }

    private static Result measure(
            String policy,
            BiFunction<List<FakeEngine>, SplittableRandom, Router> newRouter,
            int entries,
            boolean oneSlow,
            BenchOptions options,
            MeasurementReport report) {
        DurationSamples firstTokenTimes = new DurationSamples();
        SummaryStatistics p50 = new SummaryStatistics();
        SummaryStatistics p99 = new SummaryStatistics();
        SummaryStatistics hitRates = new SummaryStatistics();
        for (int i = 0; i < SEEDS; i++) {
            RoutingRun run = new RoutingRun(newRouter, entries, oneSlow, options.seed() + i);
            firstTokenTimes.addAll(run.firstTokenTimes());
            p50.add(run.firstTokenTimes().quantileMs(P50));
            p99.add(run.firstTokenTimes().quantileMs(P99));
            hitRates.add(run.relativeHitRate());
        }
        report.printMetrics(
                "policy", policy,
                "entries", entries,
                "one_engine_slow", oneSlow,
                "p50_ms", firstTokenTimes.quantileMs(P50),
                "p50_ms_min", p50.min(),
                "p50_ms_max", p50.max(),
                "p99_ms", firstTokenTimes.quantileMs(P99),
                "p99_ms_min", p99.min(),
                "p99_ms_max", p99.max(),
                "hit_rate_over_best", hitRates.mean());
        return new Result(firstTokenTimes.quantileMs(P50), firstTokenTimes.quantileMs(P99));
    }
}
