package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Measures the control-plane cost of real entry and side processes that serve no requests, for
 * several fleet sizes, and extrapolates it linearly to the size that the deployment is designed
 * for.
 */
final class ControlPlaneMeasurement implements Measurement {

    private static final int[] MEMBERS = {9, 30, 60};
    private static final int TARGET_MEMBERS = 990;
    private static final double MAX_CORE_PERCENT = 1.7;
    private static final double MAX_RESIDENT_MB = 128;
    private static final double MAX_BYTES_PER_SECOND = 24_000;
    private static final double MAX_CALLS_PER_SECOND = 2_000;

    @Override
    public void run(BenchOptions options, MeasurementReport report) throws IOException {
        List<FleetCost> costs = new ArrayList<>();
        for (int members : MEMBERS) {
            try (ControlPlaneFleet fleet = new ControlPlaneFleet(members)) {
                FleetCost cost = fleet.measure();
                print(report, cost);
                costs.add(cost);
            }
        }
        for (String role : List.of("entry", "side")) {
            ToDoubleFunction<FleetCost> cpu = c -> c.ofRole(role).corePercent();
            ToDoubleFunction<FleetCost> memory = c -> c.ofRole(role).residentMb();
            ToDoubleFunction<FleetCost> bytes = c -> c.ofRole(role).bytesPerSecond();
            extrapolate(report, role + "_core_percent", costs, cpu, MAX_CORE_PERCENT);
            extrapolate(report, role + "_resident_mb", costs, memory, MAX_RESIDENT_MB);
            extrapolate(report, role + "_bytes_per_s", costs, bytes, MAX_BYTES_PER_SECOND);
        }
        ToDoubleFunction<FleetCost> calls = FleetCost::storeCallsPerSecond;
        extrapolate(report, "store_calls_per_s", costs, calls, MAX_CALLS_PER_SECOND);
    }

    private static void print(MeasurementReport report, FleetCost cost) {
        for (String role : List.of("entry", "side")) {
            FleetCost.ProcessCost each = cost.ofRole(role);
            report.printMetrics(
                    "members", cost.members(),
                    "role", role,
                    "core_percent", each.corePercent(),
                    "resident_mb", each.residentMb(),
                    "bytes_per_s", each.bytesPerSecond(),
                    "io_calls_per_s", each.ioCallsPerSecond(),
                    "policy", "chosen");
        }
        report.printMetrics(
                "members", cost.members(),
                "store_calls_per_s", cost.storeCallsPerSecond(),
                "open_watches", cost.openWatches(),
                "policy", "chosen");
    }

    private static void extrapolate(
            MeasurementReport report,
            String key,
            List<FleetCost> costs,
            ToDoubleFunction<FleetCost> metric,
            double limit) {
        double[] members = costs.stream().mapToDouble(FleetCost::members).toArray();
        double[] values = costs.stream().mapToDouble(metric).toArray();
        LinearFit fit = LinearFit.of(members, values);
        report.printMetrics(
                "line",
                key,
                "at_zero",
                fit.intercept(),
                "for_1000_members",
                fit.slope() * 1_000,
                "error_for_1000_members",
                fit.slopeError() * 1_000,
                "policy",
                "chosen");
        // Noise can give the fitted line a negative slope; the estimate is therefore at least the
        // largest measured value.
        double maxMeasured = Arrays.stream(values).max().orElse(0);
        double estimate = Math.max(maxMeasured, fit.valueAt(TARGET_MEMBERS));
        report.checkAtMost(key + "_at_" + TARGET_MEMBERS, estimate, limit);
    }
}
