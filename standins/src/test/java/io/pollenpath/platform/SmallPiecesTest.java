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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what others wait at an entry process while bytes come in pieces as small as can be. */
class SmallPiecesTest {

    private static final int HEAP_MB = 134;
    private static final int CONNECTIONS = 3;

    /** One more than may be avoided because an answer of theirs was broken off. */
    private static final int ENGINES = CONNECTIONS + 1;

    private static final long TIMEOUT_MS = 6_000;
    private static final long BEGIN_MS = 300;
    private static final long OBSERVED_MS = 2_500;

    /** What an answer at a timeout may take. */
    private static final long MAX_WAIT_MS = 500;

    private static final int BODY_BYTES = 4_000_000;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final PlatformStoreStandin store = new PlatformStoreStandin(100);
    private final List<SmallPiecesEngine> engines = new ArrayList<>();
    private EntryProcess entry;

    SmallPiecesTest() throws IOException {}

    @BeforeEach
    void start() throws IOException {
        ObjectNode manifest =
                PlatformFixtures.manifestWithAttempts(1, EntryFleet.SERVICE, 1, TIMEOUT_MS);
        manifest.withObject("/Limits").put("MaxBodyBytes", BODY_BYTES);
        store.put(StoreKinds.CONFIG, StoreKinds.NEWEST_CONFIG, manifest);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new SmallPiecesEngine("engine-" + i, store));
        }
        entry = new EntryProcess(store.port(), HEAP_MB);
        entry.awaitServing("/plain/ready");
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        entry.close();
        for (SmallPiecesEngine engine : engines) {
            engine.close();
        }
        store.close();
    }

    /** Guards against an event loop that is taken by the work for each small piece (review/7). */
    @ParameterizedTest
    @EnumSource(SmallPiecesEngine.Kind.class)
    void answersInSmallPiecesLeaveOthersTheirTurn(SmallPiecesEngine.Kind kind) throws IOException {
        for (int i = 0; i < CONNECTIONS; i++) {
            String request = RawCaller.request("small-" + i, kind.path(), "{}");
            callers.execute(() -> sendAndRead(request));
        }
        Pause.forMs(BEGIN_MS);
        checkOthers();
    }

    /** Guards against the same by the bodies of callers. */
    @Test
    void bodiesInSmallPiecesLeaveOthersTheirTurn() throws IOException {
        String body = "b".repeat(BODY_BYTES / 2);
        for (int i = 0; i < CONNECTIONS; i++) {
            String request = RawCaller.chunkedRequest("small-" + i, "/once/small", body, 1);
            callers.execute(() -> sendAndRead(request));
        }
        checkOthers();
    }

    private void sendAndRead(String request) {
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            caller.send(request);
            caller.readAll();
        } catch (IOException e) {
            // The entry has ended the answer, or the test is over.
        }
    }

    private void checkOthers() throws IOException {
        long startNanos = System.nanoTime();
        long longestMs = 0;
        while (elapsedMs(startNanos) < OBSERVED_MS) {
            longestMs = Math.max(longestMs, callOther());
        }
        assertWithMessage("longest wait of others, in ms").that(longestMs).isAtMost(MAX_WAIT_MS);
    }

    /** Returns the time to an answer. */
    private long callOther() throws IOException {
        long sentNanos = System.nanoTime();
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            caller.send(RawCaller.request("other", "/plain/other", "{}"));
            assertThat(caller.read().status()).isEqualTo(200);
        }
        Pause.forMs(10);
        return elapsedMs(sentNanos);
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
