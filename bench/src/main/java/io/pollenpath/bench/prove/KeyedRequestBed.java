package io.pollenpath.bench.prove;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.bench.BenchClient;
import io.pollenpath.bench.ChildProcess;
import io.pollenpath.bench.TestBed;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.util.Json;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends one keyed request again and again, and counts how often the engines ran it. */
final class KeyedRequestBed {

    private static final int TOKENS = 200;
    private static final int STATUS_OK = 200;
    private static final long POLL_MS = 5;
    private static final int MAX_POLLS = 2_000;

    private final TestBed bed;
    private final String key;

    KeyedRequestBed(TestBed bed, String key) {
        this.bed = bed;
        this.key = key;
    }

    /** Starts two engines and two entries. */
    static TestBed start() throws IOException {
        TestBed bed = new TestBed(Path.of(System.getProperty("pollenpath.root", ".")));
        try {
            bed.addEngine("engine-1");
            bed.addEngine("engine-2");
            bed.addEntry("entry-1");
            bed.addEntry("entry-2");
            bed.apply();
            bed.awaitReady();
            return bed;
        } catch (IOException e) {
            bed.close();
            throw e;
        }
    }

    /** Sends the request through an entry. */
    CompletableFuture<HttpReply> send(int entry) {
        Map<String, String> headers =
                Map.of(
                        "authorization",
                        "Bearer " + TestBed.KEY,
                        "pollenpath-kind",
                        "filing",
                        "idempotency-key",
                        key);
        byte[] body = BenchClient.completion(TestBed.MODEL, "File weld W-17.", TOKENS, false);
        return bed.client().post(entry(entry).port(), "/v1/completions", headers, body);
    }

    ChildProcess entry(int index) {
        return bed.entries().get(index);
    }

    List<ChildProcess> sides() {
        return bed.sides();
    }

    /** Waits until an engine runs the request and returns the side process beside it. */
    ChildProcess runningSide() throws IOException {
        for (int i = 0; i < MAX_POLLS; i++) {
            for (int engine = 0; engine < bed.engines().size(); engine++) {
                if (runs(bed.engines().get(engine)) > 0) {
                    return bed.sides().get(engine);
                }
            }
            Pause.forMs(POLL_MS);
        }
        throw new IOException("no engine runs the request");
    }

    private int runs(ChildProcess engine) {
        JsonNode counts =
                Json.parse(bed.client().get(engine.port(), "/runs", Map.of()).join().body());
        int sum = 0;
        for (JsonNode count : counts) {
            sum += count.asInt();
        }
        return sum;
    }

    /** Switches a fault of the Object API. */
    void storeFault(String mode) {
        bed.client()
                .post(bed.objectApi().port(), "/faults?mode=" + mode, Map.of(), new byte[0])
                .join();
    }

    /** Counts second runs, and answers that deny or claim a run falsely. */
    int violations(HttpReply... replies) {
        int runs = bed.engines().stream().mapToInt(this::runs).sum();
        int violations = Math.max(0, runs - 1);
        for (HttpReply reply : replies) {
            String executed = reply.status() == STATUS_OK ? "yes" : executed(reply);
            boolean falseYes = executed.equals("yes") && runs == 0;
            boolean falseNo = executed.equals("no") && runs > 0;
            violations += unless(!falseYes && !falseNo);
        }
        return violations;
    }

    private static String executed(HttpReply reply) {
        return Json.parse(reply.body()).path("executed").asText("missing");
    }

    static int unless(boolean expected) {
        return expected ? 0 : 1;
    }
}
