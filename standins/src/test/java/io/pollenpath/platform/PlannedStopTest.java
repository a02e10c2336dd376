package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.EngineFault;
import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what callers get while an entry process is stopped as planned and its servers are full. */
class PlannedStopTest {

    private static final int HEAP_MB = 134;
    private static final int ENGINES = 2;
    private static final int CALLERS = 60;
    private static final int ROUTE_TIMEOUT_MS = 14_000;
    private static final long[] WORK_MS = {200, 1_000, 3_000, 5_000};
    private static final long LOAD_MS = 7_000;
    private static final long GRACE_MS = 8_000;
    private static final long RETURN_MS = 50;

    private final PlatformStoreStandin store = new PlatformStoreStandin(100);
    private final List<PlatformEngineStandin> engines = new ArrayList<>();
    private final Map<String, Long> runNanos = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private EntryProcess entry;

    PlannedStopTest() throws IOException {}

    /**
     * What a caller got.
     *
     * @param requestId the ID of the request
     * @param sentNanos the time at which it was sent, in nanoseconds
     * @param status the HTTP status; 0 if the connection ended without a whole answer
     */
    private record Outcome(String requestId, long sentNanos, int status) {}

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        entry.close();
        for (PlatformEngineStandin engine : engines) {
            engine.close();
        }
        store.close();
    }

    /** Guards against requests that are sent late in the grace and cut at its end. */
    @Test
    void cutsNoRequestThatIsSentAfterTheSignal() throws Exception {
        start();
        for (int i = 0; i < CALLERS; i++) {
            callers.execute(this::callUntilTheEntryHasEnded);
        }
        Pause.forMs(LOAD_MS);
        long signalNanos = System.nanoTime();
        entry.stop();
        callers.shutdown();
        assertThat(callers.awaitTermination(2 * GRACE_MS, TimeUnit.MILLISECONDS)).isTrue();
        assertThat(entry.isAlive()).isFalse();
        int begunAfterSignal = 0;
        for (Outcome outcome : outcomes) {
            boolean ran = runNanos.containsKey(outcome.requestId());
            String text = describe(outcome, signalNanos);
            assertWithMessage(text).that(ran && outcome.status() == 503).isFalse();
            assertWithMessage(text).that(ran && outcome.status() == 0).isFalse();
            if (outcome.sentNanos() > signalNanos) {
                assertWithMessage(text).that(outcome.status()).isAnyOf(200, 503, 0);
            }
            if (ran && runNanos.get(outcome.requestId()) > signalNanos) {
                begunAfterSignal += outcome.status() == 200 ? 1 : 0;
            }
        }
        // The queue goes on while there is time.
        assertThat(begunAfterSignal).isGreaterThan(0);
    }

    private String describe(Outcome outcome, long signalNanos) {
        Long ran = runNanos.get(outcome.requestId());
        return outcome
                + ", sent "
                + TimeUnit.NANOSECONDS.toMillis(outcome.sentNanos() - signalNanos)
                + " ms after the signal, run "
                + (ran == null ? "never" : TimeUnit.NANOSECONDS.toMillis(ran - signalNanos));
    }

    private void start() throws IOException {
        store.put(
                StoreKinds.CONFIG,
                StoreKinds.NEWEST_CONFIG,
                PlatformFixtures.manifestWithAttempts(1, EntryFleet.SERVICE, 2, ROUTE_TIMEOUT_MS));
        for (int i = 0; i < ENGINES; i++) {
            String id = "engine-" + i;
            PlatformEngineStandin engine = new PlatformEngineStandin(id, 0, this::work);
            engines.add(engine);
            store.put(
                    StoreKinds.SERVERS,
                    id,
                    PlatformFixtures.serverEntry(EntryFleet.SERVICE, engine.port()));
        }
        entry = new EntryProcess(store.port(), HEAP_MB);
        entry.awaitServing("/plain/ready");
    }

    private EngineFault work(PlatformEngineStandin.ReceivedRequest request) {
        runNanos.put(request.header("request-id"), System.nanoTime());
        if (request.path().startsWith("/once/")) {
            int number = Integer.parseInt(request.path().substring("/once/".length()));
            Pause.forMs(WORK_MS[number % WORK_MS.length]);
        }
        return EngineFault.NONE;
    }

    private void callUntilTheEntryHasEnded() {
        while (entry.isAlive()) {
            int number = numbers.incrementAndGet();
            String id = "once-" + number;
            RawCaller caller;
            try {
                caller = new RawCaller(entry.callerAddress());
            } catch (IOException e) {
                Pause.forMs(RETURN_MS);
                continue;
            }
            outcomes.add(call(caller, id, "/once/" + number));
            Pause.forMs(RETURN_MS);
        }
    }

    private static Outcome call(RawCaller caller, String id, String path) {
        long sentNanos = System.nanoTime();
        try (caller) {
            caller.send(RawCaller.request(id, path, "{}"));
            return new Outcome(id, sentNanos, caller.read().status());
        } catch (IOException e) {
            return new Outcome(id, sentNanos, 0);
        }
    }
}
