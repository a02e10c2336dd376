package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import io.pollenpath.coordination.limits.AllowancePolicy;
import io.pollenpath.coordination.limits.DemandAllowance;
import io.pollenpath.coordination.limits.EqualAllowance;

/**
 * Measures for each allowance policy how far the admitted rate of a customer is above or below its
 * contracted rate.
 */
final class LimitsMeasurement implements Measurement {

    private static final int SEEDS = 5;
    private static final int[] ENTRY_COUNTS = {3, 30, 370};

    @Override
    public void run(BenchOptions options, MeasurementReport report) {
        for (int entries : ENTRY_COUNTS) {
            measure("whole_limit", demand -> 1, false, entries, options, report);
            measure("equal_static", new EqualAllowance(), false, entries, options, report);
            measure("equal_live", new EqualAllowance(), true, entries, options, report);
            measure("by_demand", new DemandAllowance(), true, entries, options, report);
        }
    }

    private static void measure(
            String policy,
            AllowancePolicy allowance,
            boolean exchangesDemand,
            int entries,
            BenchOptions options,
            MeasurementReport report) {
        SummaryStatistics meanOvershoot = new SummaryStatistics();
        SummaryStatistics maxOvershoot = new SummaryStatistics();
        SummaryStatistics meanUnderUse = new SummaryStatistics();
        SummaryStatistics maxUnderUse = new SummaryStatistics();
        double messagesPerSecond = 0;
        for (int i = 0; i < SEEDS; i++) {
            LimitsRun run = new LimitsRun(allowance, exchangesDemand, entries, options.seed() + i);
            meanOvershoot.add(run.overshoot().mean());
            maxOvershoot.add(run.overshoot().max());
            meanUnderUse.add(run.underUse().mean());
            maxUnderUse.add(run.underUse().max());
            messagesPerSecond = run.messagesPerSecond();
        }
        report.printMetrics(
                "policy", policy,
                "entries", entries,
                "overshoot_mean", meanOvershoot.mean(),
                "overshoot_worst_second", maxOvershoot.max(),
                "under_use_mean", meanUnderUse.mean(),
                "under_use_worst_second", maxUnderUse.max(),
                "messages_per_second", messagesPerSecond);
    }
}
