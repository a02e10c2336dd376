package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchOptions;
import io.pollenpath.coordination.queue.FairAdmissionQueue;
import io.pollenpath.coordination.queue.FifoQueue;
import io.pollenpath.coordination.queue.QueueLimits;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Measures the goodput under overload, and how long refusals continue after an outage of all
 * engines during which every caller kept retrying.
 */
final class RetriesMeasurement implements Measurement {

    private static final int SEEDS = 5;
    private static final int MAX_QUEUED = 256;
    private static final double RETRY_BUDGET = 0.1;
    private static final int FIXED_RETRY_MS = 1_000;
    private static final int WARM_UP_SECONDS = 10;
    private static final int END_SECONDS = 30;
    private static final int STOP_SECOND = 10;
    private static final int START_SECOND = 70;
    private static final int SETTLE_END_SECOND = 330;
    private static final double SETTLE_LOAD = 0.7;
    private static final double LEAST_SETTLING_SECONDS =
            (START_SECOND - STOP_SECOND) * SETTLE_LOAD / (1 - SETTLE_LOAD);
    private static final double[] LOADS = {0.5, 1, 2, 5};
    private static final double MIN_GOODPUT = 0.95;

    private static final List<RetriesRun.Policy> POLICIES =
            List.of(
                    new RetriesRun.Policy(
                            "fifo_unbounded", r -> new FifoQueue(MAX_QUEUED), -1, FIXED_RETRY_MS),
                    new RetriesRun.Policy(
                            "fair_queue_unbounded",
                            r ->
                                    new FairAdmissionQueue(
                                            QueueLimits.of(MAX_QUEUED, FakeEngine.MAX_BATCH), r),
                            -1,
                            FIXED_RETRY_MS),
                    new RetriesRun.Policy(
                            "chosen",
                            r ->
                                    new FairAdmissionQueue(
                                            QueueLimits.of(MAX_QUEUED, FakeEngine.MAX_BATCH), r),
                            RETRY_BUDGET,
                            0));

    @Override
    public void run(BenchOptions options, MeasureReport report) {
        for (RetriesRun.Policy policy : POLICIES) {
            Spread[] goodputRatios = new Spread[LOADS.length];
            for (int i = 0; i < LOADS.length; i++) {
                goodputRatios[i] = goodput(policy, LOADS[i], options, report);
            }
            if (policy.name().equals("chosen")) {
                report.atLeast("goodput_ratio_at_2", goodputRatios[2].min(), MIN_GOODPUT);
                report.atLeast("goodput_ratio_at_5", goodputRatios[3].min(), MIN_GOODPUT);
            }
            settle(policy, options, report);
        }
    }

    private static Spread goodput(
            RetriesRun.Policy policy, double load, BenchOptions options, MeasureReport report) {
        Spread goodputRatio = new Spread();
        Spread attempts = new Spread();
        List<RetriesRun[]> runs =
                IntStream.range(0, SEEDS)
                        .parallel()
                        .mapToObj(i -> atOneAndAt(policy, load, options.seed() + i))
                        .toList();
        for (RetriesRun[] pair : runs) {
            goodputRatio.add((double) pair[1].inTime() / pair[0].inTime());
            attempts.add(pair[1].attemptsPerRequest());
        }
        report.figures(
                "policy", policy.name(),
                "load", load,
                "goodput_ratio_mean", goodputRatio.mean(),
                "goodput_ratio_min", goodputRatio.min(),
                "goodput_ratio_max", goodputRatio.max(),
                "attempts_per_request_mean", attempts.mean(),
                "attempts_per_request_max", attempts.max());
        return goodputRatio;
    }

    private static RetriesRun[] atOneAndAt(RetriesRun.Policy policy, double load, long seed) {
        RetriesRun[] pair = {
            new RetriesRun(policy, 1, WARM_UP_SECONDS, seed),
            new RetriesRun(policy, load, WARM_UP_SECONDS, seed)
        };
        for (RetriesRun run : pair) {
            run.runUntilSecond(END_SECONDS);
        }
        return pair;
    }

    private static void settle(
            RetriesRun.Policy policy, BenchOptions options, MeasureReport report) {
        Spread seconds = new Spread();
        IntStream.range(0, SEEDS)
                .parallel()
                .mapToObj(i -> settlingSeconds(policy, options.seed() + i))
                .toList()
                .forEach(seconds::add);
        report.figures(
                "policy", policy.name(),
                "stop_seconds", START_SECOND - STOP_SECOND,
                "settling_seconds_mean", seconds.mean(),
                "settling_seconds_min", seconds.min(),
                "settling_seconds_max", seconds.max(),
                "least_possible_seconds", LEAST_SETTLING_SECONDS,
                "observed_seconds", SETTLE_END_SECOND - START_SECOND);
    }

    /** Returns the seconds between the end of the outage and the last refusal. */
    private static double settlingSeconds(RetriesRun.Policy policy, long seed) {
        RetriesRun run = new RetriesRun(policy, SETTLE_LOAD, 0, seed);
        run.runUntilSecond(STOP_SECOND);
        run.setStopped(true);
        run.runUntilSecond(START_SECOND);
        run.setStopped(false);
        run.runUntilSecond(SETTLE_END_SECOND);
        return Math.max(0, run.lastRefusalSecond() - START_SECOND);
    }
}
