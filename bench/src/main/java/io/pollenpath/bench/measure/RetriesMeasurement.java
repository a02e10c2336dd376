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
    private static final int OUTAGE_START_SECOND = 10;
    private static final int OUTAGE_END_SECOND = 70;
    private static final int OUTAGE_RUN_END_SECOND = 330;
    private static final double OUTAGE_LOAD = 0.7;

    /**
     * The shortest time in which engines at full rate can work off the requests of the outage while
     * new ones keep arriving, in seconds.
     */
    private static final double MIN_REFUSAL_SECONDS =
            (OUTAGE_END_SECOND - OUTAGE_START_SECOND) * OUTAGE_LOAD / (1 - OUTAGE_LOAD);

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
    public void run(BenchOptions options, MeasurementReport report) {
        for (RetriesRun.Policy policy : POLICIES) {
            SummaryStatistics[] goodputRatios = new SummaryStatistics[LOADS.length];
            for (int i = 0; i < LOADS.length; i++) {
                goodputRatios[i] = measureGoodput(policy, LOADS[i], options, report);
            }
            if (policy.name().equals("chosen")) {
                report.checkAtLeast("goodput_ratio_at_2", goodputRatios[2].min(), MIN_GOODPUT);
                report.checkAtLeast("goodput_ratio_at_5", goodputRatios[3].min(), MIN_GOODPUT);
            }
            measureOutage(policy, options, report);
        }
    }

    private static SummaryStatistics measureGoodput(
            RetriesRun.Policy policy, double load, BenchOptions options, MeasurementReport report) {
        SummaryStatistics goodputRatio = new SummaryStatistics();
        SummaryStatistics attempts = new SummaryStatistics();
        List<RetriesRun[]> runs =
                IntStream.range(0, SEEDS)
                        .parallel()
                        .mapToObj(i -> runAtFullAndGivenLoad(policy, load, options.seed() + i))
                        .toList();
        for (RetriesRun[] pair : runs) {
            goodputRatio.add((double) pair[1].completedInTime() / pair[0].completedInTime());
            attempts.add(pair[1].attemptsPerRequest());
        }
        report.printMetrics(
                "policy", policy.name(),
                "load", load,
                "goodput_ratio_mean", goodputRatio.mean(),
                "goodput_ratio_min", goodputRatio.min(),
                "goodput_ratio_max", goodputRatio.max(),
                "attempts_per_request_mean", attempts.mean(),
                "attempts_per_request_max", attempts.max());
        return goodputRatio;
    }

    /** Returns a run at the load 1 and a run at the given load, both with the same seed. */
    private static RetriesRun[] runAtFullAndGivenLoad(
            RetriesRun.Policy policy, double load, long seed) {
        RetriesRun[] pair = {
            new RetriesRun(policy, 1, WARM_UP_SECONDS, seed),
            new RetriesRun(policy, load, WARM_UP_SECONDS, seed)
        };
        for (RetriesRun run : pair) {
            run.runUntilSecond(END_SECONDS);
        }
        return pair;
    }

    private static void measureOutage(
            RetriesRun.Policy policy, BenchOptions options, MeasurementReport report) {
        SummaryStatistics seconds = new SummaryStatistics();
        IntStream.range(0, SEEDS)
                .parallel()
                .mapToObj(i -> refusalSecondsAfterOutage(policy, options.seed() + i))
                .toList()
                .forEach(seconds::add);
        report.printMetrics(
                "policy", policy.name(),
                "stop_seconds", OUTAGE_END_SECOND - OUTAGE_START_SECOND,
                "settling_seconds_mean", seconds.mean(),
                "settling_seconds_min", seconds.min(),
                "settling_seconds_max", seconds.max(),
                "least_possible_seconds", MIN_REFUSAL_SECONDS,
                "observed_seconds", OUTAGE_RUN_END_SECOND - OUTAGE_END_SECOND);
    }

    /** Returns the seconds between the end of the outage and the last refusal. */
    private static double refusalSecondsAfterOutage(RetriesRun.Policy policy, long seed) {
        RetriesRun run = new RetriesRun(policy, OUTAGE_LOAD, 0, seed);
        run.runUntilSecond(OUTAGE_START_SECOND);
        run.setUnavailable(true);
        run.runUntilSecond(OUTAGE_END_SECOND);
        run.setUnavailable(false);
        run.runUntilSecond(OUTAGE_RUN_END_SECOND);
        return Math.max(0, run.lastRefusalSecond() - OUTAGE_END_SECOND);
    }
}
