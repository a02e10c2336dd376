package io.pollenpath.bench.prove;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.bench.BenchClient;
import io.pollenpath.bench.ChildProcess;
import io.pollenpath.bench.SystemHarness;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.util.Json;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Sends one non-idempotent request repeatedly under the same idempotency key, and counts how often
 * the engines run it.
 */
final class KeyedRequestHarness {

    private static final int TOKENS = 200;
    private static final int STATUS_OK = 200;
    private static final long POLL_MS = 5;
    private static final int MAX_POLLS = 2_000;

    private final SystemHarness harness;
    private final String key;

    KeyedRequestHarness(SystemHarness harness, String key) {
        this.harness = harness;
        this.key = key;
    }

    /** Starts a system with two engines and two entries, and waits until it is ready. */
    static SystemHarness start() throws IOException {
        SystemHarness harness =
                new SystemHarness(Path.of(System.getProperty("pollenpath.root", ".")));
        try {
            harness.addEngine("engine-1");
            harness.addEngine("engine-2");
            harness.addEntry("entry-1");
            harness.addEntry("entry-2");
            harness.applyDeclarations();
            harness.awaitReady();
            return harness;
        } catch (IOException e) {
            harness.close();
            throw e;
        }
    }

    /** Sends the request to the entry with this index. */
    CompletableFuture<HttpReply> send(int entry) {
        Map<String, String> headers =
                Map.of(
                        "authorization",
                        "Bearer " + SystemHarness.KEY,
                        "pollenpath-kind",
                        "filing",
                        "idempotency-key",
                        key);
        byte[] body = BenchClient.completion(SystemHarness.MODEL, "File weld W-17.", TOKENS, false);
        return harness.client().post(entry(entry).port(), "/v1/completions", headers, body);
    }

    ChildProcess entry(int index) {
        return harness.entries().get(index);
    }

    List<ChildProcess> sides() {
        return harness.sides();
    }

    /** Waits until an engine has started to run the request; returns its side process. */
    ChildProcess awaitRunningSide() throws IOException {
        for (int i = 0; i < MAX_POLLS; i++) {
            for (int engine = 0; engine < harness.engines().size(); engine++) {
                if (runs(harness.engines().get(engine)) > 0) {
                    return harness.sides().get(engine);
                }
            }
            Pause.forMs(POLL_MS);
        }
        throw new IOException("no engine started to run the request in time");
    }

    private int runs(ChildProcess engine) {
        JsonNode counts =
                Json.parse(harness.client().get(engine.port(), "/runs", Map.of()).join().body());
        int runs = 0;
        for (JsonNode count : counts) {
            runs += count.asInt();
        }
        return runs;
    }

    /** Sets the fault mode of the Object API; {@code none} turns faults off. */
    void setStoreFault(String mode) {
        harness.client()
                .post(harness.objectApi().port(), "/faults?mode=" + mode, Map.of(), new byte[0])
                .join();
    }

    /**
     * Counts violations: each run of the request after the first, and each answer that wrongly says
     * that the request ran or did not run.
     */
    int violations(HttpReply... replies) {
        int runs = harness.engines().stream().mapToInt(this::runs).sum();
        int violations = Math.max(0, runs - 1);
        for (HttpReply reply : replies) {
            String executed = reply.status() == STATUS_OK ? "yes" : executed(reply);
            boolean falseRunReport = executed.equals("yes") && runs == 0;
            boolean falseNoRunReport = executed.equals("no") && runs > 0;
            violations += violationUnless(!falseRunReport && !falseNoRunReport);
        }
        return violations;
    }

    private static String executed(HttpReply reply) {
        return Json.parse(reply.body()).path("executed").asText("missing");
    }

    /** Returns 0 if the condition holds, otherwise 1, a single violation. */
    static int violationUnless(boolean condition) {
        return condition ? 0 : 1;
    }
}
