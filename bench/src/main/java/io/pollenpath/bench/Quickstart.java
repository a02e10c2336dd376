package io.pollenpath.bench;

import io.pollenpath.transport.HttpReply;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** Starts the whole system, sends one request of each kind and prints the trace of each request. */
final class Quickstart {

    private static final int STATUS_OK = 200;
    private static final int TOKENS = 20;
    private static final int MIN_SPANS = 5;

    /** Position of the trace id in a W3C {@code traceparent} header. */
    private static final int TRACE_ID_START = 3;

    private static final int TRACE_ID_END = 35;
    private static final long SPAN_EXPORT_MS = 1_500;

    private final PrintStream out;

    Quickstart(PrintStream out) {
        this.out = out;
    }

    int run() throws IOException {
        try (SystemHarness harness =
                new SystemHarness(Path.of(System.getProperty("pollenpath.root", ".")))) {
            startSystem(harness);
            HttpReply completionReply = sendCompletion(harness);
            HttpReply filingReply = sendFiling(harness);
            awaitSpanExport();
            boolean completionTraced = printTrace(harness, "completion", completionReply);
            boolean filingTraced = printTrace(harness, "filing", filingReply);
            boolean traced = completionTraced && filingTraced;
            boolean served =
                    completionReply.status() == STATUS_OK && filingReply.status() == STATUS_OK;
            out.println("quickstart=" + (served && traced ? "ok" : "failed"));
            return served && traced ? 0 : 1;
        }
    }

    private void startSystem(SystemHarness harness) throws IOException {
        for (int i = 1; i <= 3; i++) {
            harness.addEngine("engine-" + i);
        }
        harness.addService("filing");
        harness.addEntry("entry-1");
        harness.addEntry("entry-2");
        ProcessGroup.CliResult applied = harness.applyDeclarations();
        applied.lines().forEach(out::println);
        if (applied.exitCode() != 0) {
            throw new IOException("the declarations were rejected");
        }
        harness.awaitReady();
        out.println("processes=12 state=ready");
    }

    private HttpReply sendCompletion(SystemHarness harness) {
        byte[] body =
                BenchClient.completion(
                        SystemHarness.MODEL,
                        "Summarise the pig-run log of segment 7.",
                        TOKENS,
                        true);
        return sendAndPrint(harness, "completion", 0, "/v1/completions", "", body);
    }

    private HttpReply sendFiling(SystemHarness harness) {
        byte[] body = "{\"weld\":\"W-17\"}".getBytes(StandardCharsets.UTF_8);
        return sendAndPrint(harness, "filing", 1, "/services/filing/welds", "filing", body);
    }

    private HttpReply sendAndPrint(
            SystemHarness harness, String name, int entry, String path, String kind, byte[] body) {
        Map<String, String> headers =
                Map.of("authorization", "Bearer " + SystemHarness.KEY, "pollenpath-kind", kind);
        HttpReply reply =
                harness.client()
                        .post(harness.entries().get(entry).port(), path, headers, body)
                        .join();
        out.println("request=" + name + " status=" + reply.status());
        BenchClient.text(reply)
                .lines()
                .filter(line -> !line.isEmpty())
                .forEach(line -> out.println("  " + line));
        return reply;
    }

    private boolean printTrace(SystemHarness harness, String name, HttpReply reply) {
        String traceparent = reply.headers().get("traceparent", "");
        if (traceparent.length() < TRACE_ID_END) {
            out.println("trace=missing request=" + name);
            return false;
        }
        TraceReport report =
                TraceReport.of(
                        traceparent.substring(TRACE_ID_START, TRACE_ID_END), harness.lines());
        out.println("request=" + name + " trace=" + report.traceId());
        report.print(out);
        return report.spanCount() >= MIN_SPANS;
    }

    private static void awaitSpanExport() {
        try {
            Thread.sleep(SPAN_EXPORT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
