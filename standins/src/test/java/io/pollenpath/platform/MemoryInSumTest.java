package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests an entry process whose requests or answers are too large for its memory in sum. */
class MemoryInSumTest {

    private static final int HEAP_MB = 134;
    private static final int ENGINES = 8;
    private static final int CALLS = 40;
    private static final int ANSWER_BYTES = 7_500_000;
    private static final int BODY_BYTES = 4_000_000;

    private static final int TIMEOUT_MS = 5_000;

    /** An answer that says that the time is over comes with its end. */
    private static final long ANSWER_LIMIT_MS = TIMEOUT_MS + 1_000;

    private static final double MIN_SERVED = 0.99;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final PlatformStoreStandin store = new PlatformStoreStandin(100);
    private final List<HoldingEngine> engines = new ArrayList<>();
    private EntryProcess entry;

    MemoryInSumTest() throws IOException {}

    /**
     * The answer to one request.
     *
     * @param requestId the ID of the request
     * @param status the HTTP status; 0 if there was no answer in time
     * @param elapsedMs the time from the last byte of the request to the answer, in milliseconds
     */
    private record Outcome(String requestId, int status, long elapsedMs) {}

    @BeforeEach
    void start() throws IOException {
        ObjectNode manifest =
                PlatformFixtures.manifestWithAttempts(1, EntryFleet.SERVICE, 2, TIMEOUT_MS);
        manifest.withObject("/Limits").put("MaxBodyBytes", 4_194_304);
        store.put(StoreKinds.CONFIG, StoreKinds.NEWEST_CONFIG, manifest);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new HoldingEngine("engine-" + i, store));
        }
        entry = new EntryProcess(store.port(), HEAP_MB);
        entry.awaitServing("/plain/ready");
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        entry.close();
        for (HoldingEngine engine : engines) {
            engine.close();
        }
        store.close();
    }

    /** Guards against many answers that each are within their bound and in sum fill the heap. */
    @Test
    void answersWithoutAnEndLeaveOthersTheirMemory() throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        CompletableFuture<Double> served = serveOthers(ended);
        List<Outcome> outcomes =
                callAll(
                        CALLS,
                        call ->
                                call(
                                        "hold-" + call,
                                        HoldingEngine.path(call % 2 == 0, ANSWER_BYTES),
                                        "{}",
                                        0));
        checkOutcomes(outcomes, served, ended);
    }

    /** Guards against many requests that each are within the limits and in sum fill the heap. */
    @ParameterizedTest
    @CsvSource({"40, 2000", "60, 0"})
    void longRequestsLeaveOthersTheirMemory(int calls, long lastByteLateMs) throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        CompletableFuture<Double> served = serveOthers(ended);
        String body = "b".repeat(BODY_BYTES);
        List<Outcome> outcomes =
                callAll(calls, call -> call("long-" + call, "/once/long", body, lastByteLateMs));
        checkOutcomes(outcomes, served, ended);
        for (Outcome outcome : outcomes) {
            int runs = engines.stream().mapToInt(e -> e.runs(outcome.requestId())).sum();
            assertWithMessage(outcome.toString())
                    .that(runs)
                    .isAtMost(outcome.status() == 503 ? 0 : 1);
        }
        assertThat(outcomes.stream().filter(o -> o.status() == 200).count()).isGreaterThan(0);
    }

    private void checkOutcomes(
            List<Outcome> outcomes, CompletableFuture<Double> served, AtomicBoolean ended)
            throws Exception {
        Pause.forMs(500);
        ended.set(true);
        String log = entry.log();
        assertWithMessage("share of the others").that(served.get()).isAtLeast(MIN_SERVED);
        for (Outcome outcome : outcomes) {
            assertWithMessage(outcome.toString())
                    .that(outcome.status())
                    .isAnyOf(200, 502, 503, 504);
            assertWithMessage(outcome.toString())
                    .that(outcome.elapsedMs())
                    .isAtMost(ANSWER_LIMIT_MS);
        }
        assertThat(entry.isAlive()).isTrue();
        assertWithMessage("out of memory").that(log.contains("OutOfMemoryError")).isFalse();
        assertWithMessage("says why").that(log.contains("event=memory_short")).isTrue();
    }

    private interface Call {
        Outcome make(int number);
    }

    private List<Outcome> callAll(int calls, Call call) {
        List<CompletableFuture<Outcome>> running = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            int number = i;
            running.add(CompletableFuture.supplyAsync(() -> call.make(number), callers));
        }
        return running.stream().map(CompletableFuture::join).toList();
    }

    /** Sends a request whose last byte comes late. */
    private Outcome call(String requestId, String path, String body, long lastByteLateMs) {
        long sentNanos = System.nanoTime();
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            String request = RawCaller.request(requestId, path, body);
            caller.send(request.substring(0, request.length() - 1));
            Pause.forMs(lastByteLateMs);
            sentNanos = System.nanoTime();
            caller.send(request.substring(request.length() - 1));
            return new Outcome(requestId, caller.read().status(), elapsedMs(sentNanos));
        } catch (IOException e) {
            return new Outcome(requestId, 0, elapsedMs(sentNanos));
        }
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private CompletableFuture<Double> serveOthers(AtomicBoolean ended) {
        return CompletableFuture.supplyAsync(() -> servedShare(ended), callers);
    }

    private double servedShare(AtomicBoolean ended) {
        int sent = 0;
        int served = 0;
        while (!ended.get()) {
            served += call("small-" + sent, "/plain/small", "{}", 0).status() == 200 ? 1 : 0;
            sent++;
            Pause.forMs(10);
        }
        return (double) served / sent;
    }
}
