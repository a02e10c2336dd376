package io.pollenpath.bench.measure;

import io.pollenpath.bench.BenchClient;
import io.pollenpath.bench.BenchClient.Timing;
import io.pollenpath.bench.BenchOptions;
import io.pollenpath.bench.ProcessStats;
import io.pollenpath.bench.SystemHarness;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency and the throughput cost of the load balancer: compares requests through an
 * entry and a side process with direct requests to the same backend server, in pairs within one
 * run.
 */
final class OverheadMeasurement implements Measurement {

    private static final int OUTPUT_TOKENS = 200;
    private static final int CONCURRENT_PAIRS = 12;
    private static final int WARM_UP_ROUNDS = 4;
    private static final int ROUNDS = 34;
    private static final int CONCURRENT_CALLS = 32;
    private static final int CALL_SLICES = 6;
    private static final long CALL_SLICE_MS = 1_000;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double P50_TARGET = 1.02;
    private static final double P99_TARGET = 1.05;
    private static final double THROUGHPUT_TARGET = 0.4;
    private static final byte[] CALL_BODY = "{\"weld\":\"W-1\"}".getBytes(StandardCharsets.UTF_8);

    private final Histogram directTotalNanos = new Histogram(HISTOGRAM_DIGITS);
    private final Histogram entryTotalNanos = new Histogram(HISTOGRAM_DIGITS);
    private final Histogram directFirstTokenNanos = new Histogram(HISTOGRAM_DIGITS);
    private final Histogram entryFirstTokenNanos = new Histogram(HISTOGRAM_DIGITS);

    @Override
    public void run(BenchOptions options, MeasurementReport report) throws IOException {
        try (SystemHarness testBed =
                new SystemHarness(Path.of(System.getProperty("pollenpath.root", ".")))) {
            testBed.addEngine("engine-1");
            testBed.addService("filing");
            testBed.addEntry("entry-1");
            testBed.applyDeclarations();
            testBed.awaitReady();
            measureStreams(testBed, options.seed(), report);
            measureCalls(testBed, report);
        }
    }

    private void measureStreams(SystemHarness testBed, long seed, MeasurementReport report)
            throws IOException {
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            runStreamRound(testBed, seed, round, false);
        }
        ProcessStats entryStats = new ProcessStats(testBed.entries().get(0).pid());
        long startNanos = entryStats.cpuNanos();
        for (int round = 0; round < ROUNDS; round++) {
            runStreamRound(testBed, seed, WARM_UP_ROUNDS + round, true);
        }
        double cpuSeconds =
                (entryStats.cpuNanos() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        double tokens = (double) ROUNDS * CONCURRENT_PAIRS * OUTPUT_TOKENS;
        printLatencies(report, "direct", directTotalNanos, directFirstTokenNanos);
        printLatencies(report, "chosen", entryTotalNanos, entryFirstTokenNanos);
        report.printMetrics("tokens_per_core_second", tokens / cpuSeconds, "policy", "chosen");
        report.checkAtMost("added_p50_ratio", latencyRatio(P50), P50_TARGET);
        report.checkAtMost("added_p99_ratio", latencyRatio(P99), P99_TARGET);
    }

    private static void printLatencies(
            MeasurementReport report, String policy, Histogram total, Histogram firstToken) {
        report.printMetrics(
                "policy",
                policy,
                "answers",
                total.getTotalCount(),
                "whole_p50_ms",
                toMs(total.getValueAtPercentile(P50)),
                "whole_p99_ms",
                toMs(total.getValueAtPercentile(P99)),
                "first_p50_ms",
                toMs(firstToken.getValueAtPercentile(P50)),
                "first_p99_ms",
                toMs(firstToken.getValueAtPercentile(P99)));
    }

    private static double toMs(long nanos) {
        return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    private double latencyRatio(double percentile) {
        return (double) entryTotalNanos.getValueAtPercentile(percentile)
                / directTotalNanos.getValueAtPercentile(percentile);
    }

    private void runStreamRound(SystemHarness testBed, long seed, int round, boolean recorded) {
        List<CompletableFuture<Timing>> directTimings = new ArrayList<>();
        List<CompletableFuture<Timing>> entryTimings = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_PAIRS; i++) {
            String prompt = "seed " + seed + " round " + round + " pair " + i;
            byte[] body = BenchClient.completion(SystemHarness.MODEL, prompt, OUTPUT_TOKENS, true);
            // The order within a pair alternates, so that neither path is always sent first.
            if ((round + i) % 2 == 0) {
                directTimings.add(stream(testBed, testBed.engines().get(0).port(), body));
                entryTimings.add(stream(testBed, testBed.entries().get(0).port(), body));
            } else {
                entryTimings.add(stream(testBed, testBed.entries().get(0).port(), body));
                directTimings.add(stream(testBed, testBed.engines().get(0).port(), body));
            }
        }
        directTimings.forEach(
                timing ->
                        recordTiming(
                                timing.join(), directTotalNanos, directFirstTokenNanos, recorded));
        entryTimings.forEach(
                timing ->
                        recordTiming(
                                timing.join(), entryTotalNanos, entryFirstTokenNanos, recorded));
    }

    private static CompletableFuture<Timing> stream(SystemHarness testBed, int port, byte[] body) {
        return testBed.client().measureStream(port, "/v1/completions", headers(), body);
    }

    private static Map<String, String> headers() {
        return Map.of("authorization", "Bearer " + SystemHarness.KEY);
    }

    private static void recordTiming(
            Timing timing, Histogram total, Histogram firstToken, boolean recorded) {
        if (timing.status() != 200) {
            throw new IllegalStateException("expected status 200 but received " + timing.status());
        }
        if (recorded) {
            total.recordValue(timing.totalNanos());
            firstToken.recordValue(timing.firstNanos());
        }
    }

    private static void measureCalls(SystemHarness testBed, MeasurementReport report) {
        int servicePort = testBed.service().port();
        int entryPort = testBed.entries().get(0).port();
        runCallSlice(testBed, servicePort, "/welds");
        runCallSlice(testBed, entryPort, "/services/filing/welds");
        long directCalls = 0;
        long entryCalls = 0;
        for (int slice = 0; slice < CALL_SLICES; slice++) {
            directCalls += runCallSlice(testBed, servicePort, "/welds");
            entryCalls += runCallSlice(testBed, entryPort, "/services/filing/welds");
        }
        double seconds = CALL_SLICES * CALL_SLICE_MS / 1_000.0;
        report.printMetrics("policy", "direct", "calls_per_second", directCalls / seconds);
        report.printMetrics("policy", "chosen", "calls_per_second", entryCalls / seconds);
        report.checkAtLeast(
                "throughput_ratio", (double) entryCalls / directCalls, THROUGHPUT_TARGET);
    }

    /** Keeps a fixed number of calls in flight for one slice; returns the calls completed in it. */
    private static long runCallSlice(SystemHarness testBed, int port, String path) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_SLICE_MS);
        AtomicLong completed = new AtomicLong();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_CALLS; i++) {
            callers.add(callRepeatedlyUntil(testBed, port, path, endNanos, completed));
        }
        callers.forEach(CompletableFuture::join);
        return completed.get();
    }

    private static CompletableFuture<Void> callRepeatedlyUntil(
            SystemHarness testBed, int port, String path, long endNanos, AtomicLong completed) {
        return testBed.client()
                .post(port, path, headers(), CALL_BODY)
                .thenComposeAsync(
                        reply -> {
                            if (reply.status() != 200) {
                                throw new IllegalStateException(BenchClient.text(reply));
                            }
                            if (System.nanoTime() - endNanos >= 0) {
                                return CompletableFuture.completedFuture(null);
                            }
                            completed.incrementAndGet();
                            return callRepeatedlyUntil(testBed, port, path, endNanos, completed);
                        });
    }
}
