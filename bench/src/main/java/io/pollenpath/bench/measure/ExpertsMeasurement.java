package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import io.pollenpath.coordination.experts.ExpertPolicies;
import io.pollenpath.coordination.experts.FullReplanPolicy;
import io.pollenpath.coordination.experts.RebalancePolicy;
import io.pollenpath.coordination.experts.StaticPolicy;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Compares the policies of placing experts on one seeded trace of drifting popularity: step-time
 * skew, moved bytes, steps delayed by moving and the time of planning.
 */
final class ExpertsMeasurement implements Measurement {

    private static final int[] RANKS = {8, 32, 128};
    private static final int EXPERTS = 256;
    private static final int PLANNER_LAYERS = 60;
    private static final double SKEW_TARGET = 1.05;
    private static final double EXCESS_TARGET = 0.5;
    private static final double MOVED_TARGET = 0.3;
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
    public void run(BenchOptions options, MeasureReport report) {
        for (int ranks : RANKS) {
            Map<String, ExpertTrial.Result> results = new LinkedHashMap<>();
            policies()
                    .forEach(
                            (name, policy) -> {
                                ExpertTrial trial = new ExpertTrial(options.seed(), ranks, EXPERTS);
                                results.put(name, trial.run(policy));
                            });
            report.figures(
                    "ranks", ranks, "policy", "lower-bound", "skew_mean", 1.0, "moved_gb", 0);
            results.forEach((name, result) -> print(report, ranks, name, result));
            targets(report, ranks, results);
        }
        double plannerMs = ExpertTrial.plannerMs(options.seed(), 128, EXPERTS, PLANNER_LAYERS);
        report.atMost("planner_ms_128x256x60", plannerMs, PLANNER_TARGET_MS);
    }

    private static void print(
            MeasureReport report, int ranks, String policy, ExpertTrial.Result result) {
        report.figures(
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

    private static void targets(
            MeasureReport report, int ranks, Map<String, ExpertTrial.Result> results) {
        ExpertTrial.Result fixed = results.get("static");
        ExpertTrial.Result moving = results.get("chosen-moving");
        double excess = (moving.skewMean() - 1) / (fixed.skewMean() - 1);
        double moved = moving.movedGb() / results.get("full-replan").movedGb();
        String suffix = "_ranks" + ranks;
        report.atMost("skew_mean" + suffix, results.get("chosen-skew").skewMean(), SKEW_TARGET);
        report.atMost("excess_of_static" + suffix, excess, EXCESS_TARGET);
        report.atMost("moved_of_full_replan" + suffix, moved, MOVED_TARGET);
    }
}
