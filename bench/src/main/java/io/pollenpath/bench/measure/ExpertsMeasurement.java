package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import io.pollenpath.coordination.experts.ExpertPolicies;
import io.pollenpath.coordination.experts.FullReplanPolicy;
import io.pollenpath.coordination.experts.RebalancePolicy;
import io.pollenpath.coordination.experts.StaticPolicy;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Compares expert placement policies on one seeded trace of drifting expert popularity: the skew of
 * the load between ranks, the weights moved, the steps delayed by moves, and the planning time.
 */
final class ExpertsMeasurement implements Measurement {

    private static final int[] RANKS = {8, 32, 128};
    private static final int EXPERTS = 256;
    private static final int PLANNER_LAYERS = 60;
    private static final double SKEW_TARGET = 1.05;
    private static final double EXCESS_RATIO_TARGET = 0.5;
    private static final double MOVED_RATIO_TARGET = 0.3;
    private static final double PLANNER_TARGET_MS = 50;

    private static Map<String, RebalancePolicy> policies() {
        Map<String, RebalancePolicy> policies = new LinkedHashMap<>();
        policies.put("static", new StaticPolicy());
        policies.put("full-replan", new FullReplanPolicy());
        policies.put("chosen-skew", ExpertPolicies.lowSkew());
        policies.put("chosen-moving", ExpertPolicies.fewMoves());
        return policies;
    }

    @Override
    public void run(BenchOptions options, MeasurementReport report) {
        for (int ranks : RANKS) {
            Map<String, ExpertPlacementRun.Result> results = new LinkedHashMap<>();
            policies()
                    .forEach(
                            (name, policy) -> {
                                ExpertPlacementRun trial =
                                        new ExpertPlacementRun(options.seed(), ranks, EXPERTS);
                                results.put(name, trial.run(policy));
                            });
            report.printMetrics(
                    "ranks", ranks, "policy", "lower-bound", "skew_mean", 1.0, "moved_gb", 0);
            results.forEach((name, result) -> print(report, ranks, name, result));
            checkTargets(report, ranks, results);
        }
        double plannerMs =
                ExpertPlacementRun.medianPlanningMs(options.seed(), 128, EXPERTS, PLANNER_LAYERS);
        report.checkAtMost("planner_ms_128x256x60", plannerMs, PLANNER_TARGET_MS);
    }

    private static void print(
            MeasurementReport report, int ranks, String policy, ExpertPlacementRun.Result result) {
        report.printMetrics(
                "ranks",
                ranks,
                "policy",
                policy,
                "skew_mean",
                result.skewMean(),
                "skew_p50",
                result.skewP50(),
                "skew_p99",
                result.skewP99(),
                "forecast_skew",
                result.forecastSkew(),
                "moved_gb",
                result.movedGb(),
                "delayed_steps",
                result.delayedSteps());
    }

    private static void checkTargets(
            MeasurementReport report, int ranks, Map<String, ExpertPlacementRun.Result> results) {
        ExpertPlacementRun.Result staticResult = results.get("static");
        ExpertPlacementRun.Result fewMoves = results.get("chosen-moving");
        double excessRatio = (fewMoves.skewMean() - 1) / (staticResult.skewMean() - 1);
        double movedRatio = fewMoves.movedGb() / results.get("full-replan").movedGb();
        String suffix = "_ranks" + ranks;
        report.checkAtMost(
                "skew_mean" + suffix, results.get("chosen-skew").skewMean(), SKEW_TARGET);
        report.checkAtMost("excess_of_static" + suffix, excessRatio, EXCESS_RATIO_TARGET);
        report.checkAtMost("moved_of_full_replan" + suffix, movedRatio, MOVED_RATIO_TARGET);
    }
}
