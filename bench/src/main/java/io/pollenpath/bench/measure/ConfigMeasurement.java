package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import io.pollenpath.bench.config.FakeFleet;
import io.pollenpath.bench.config.FleetContent;
import io.pollenpath.bench.config.FleetShape;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures how long a configuration change takes to become effective in every process of a
 * simulated fleet, and the store calls and bytes that the distribution costs.
 */
final class ConfigMeasurement implements Measurement {

    private static final int[] SIZES = {30, 100, 300, 990};
    private static final int WARM_UP_SECONDS = 20;
    private static final int CHANGES = 30;
    private static final long CHANGE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LAST_CHANGE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final double MAX_PROPAGATION_MS = 8_000;
    private static final double MAX_BYTES_PER_SECOND = 24_000;
    private static final double MAX_CALLS_PER_SECOND = 2_000;
    private static final double NANOS_PER_MS = 1e6;

    /** The metrics of one run that have a target. */
    private record Result(
            double maxMs,
            double maxBytesPerSecond,
            double callsPerSecond,
            double startPeakCallsPerSecond,
            long reversions) {}

    @Override
    public void run(BenchOptions options, MeasurementReport report) {
        for (int agents : SIZES) {
            measure(FleetShape.everyAgentWatches(agents), "each-watches", options.seed(), report);
            Result chosen = measure(FleetShape.defaults(agents), "chosen", options.seed(), report);
            report.checkAtMost("max_ms", chosen.maxMs(), MAX_PROPAGATION_MS);
            report.checkAtMost("max_bytes_per_s", chosen.maxBytesPerSecond(), MAX_BYTES_PER_SECOND);
            report.checkAtMost("calls_per_s", chosen.callsPerSecond(), MAX_CALLS_PER_SECOND);
            report.checkAtMost(
                    "start_peak_calls_per_s",
                    chosen.startPeakCallsPerSecond(),
                    MAX_CALLS_PER_SECOND);
            report.checkAtMost("reversions", (double) chosen.reversions(), 0);
        }
    }

    private static Result measure(
            FleetShape shape, String policy, long seed, MeasurementReport report) {
        FakeFleet fleet = new FakeFleet(shape, seed);
        FleetContent.fill(fleet);
        fleet.startAll();
        fleet.clock().advance(TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS));
        long startPeak = fleet.store().peakCallsPerSecond();
        fleet.resetCounts();
        for (int i = 0; i < CHANGES; i++) {
            fleet.trackChange(FleetContent.changeContract(fleet, i));
            fleet.clock().advance(CHANGE_INTERVAL_NANOS);
        }
        fleet.clock().advance(LAST_CHANGE_WAIT_NANOS);
        double seconds = (CHANGES * CHANGE_INTERVAL_NANOS + LAST_CHANGE_WAIT_NANOS) / 1e9;
        List<Long> times = fleet.propagationNanos();
        Result result =
                new Result(
                        quantileMs(times, 1),
                        fleet.maxBytes() / seconds,
                        fleet.store().callsAndWatchSeconds() / seconds,
                        startPeak,
                        fleet.reversions());
        report.printMetrics(
                "agents", shape.agents(),
                "changes", CHANGES,
                "p50_ms", quantileMs(times, 0.5),
                "p99_ms", quantileMs(times, 0.99),
                "max_ms", result.maxMs(),
                "calls_per_s", result.callsPerSecond(),
                "watches", fleet.store().openWatches(),
                "start_peak_calls_per_s", startPeak,
                "mean_bytes_per_s", fleet.meanBytes() / seconds,
                "max_bytes_per_s", result.maxBytesPerSecond(),
                "reversions", result.reversions(),
                "policy", policy);
        return result;
    }

    private static double quantileMs(List<Long> sorted, double quantile) {
        int index = (int) Math.ceil(quantile * sorted.size()) - 1;
        return sorted.get(Math.max(0, index)) / NANOS_PER_MS;
    }
}
