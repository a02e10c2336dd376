package io.pollenpath.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
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
        OtherCaller.check(entry.callerAddress(), OBSERVED_MS);
    }

    /** Guards against the same by the bodies of callers. */
    @Test
    void bodiesInSmallPiecesLeaveOthersTheirTurn() throws IOException {
        String body = "b".repeat(BODY_BYTES / 2);
        for (int i = 0; i < CONNECTIONS; i++) {
            String request = RawCaller.chunkedRequest("small-" + i, "/once/small", body, 1);
            callers.execute(() -> sendAndRead(request));
        }
        OtherCaller.check(entry.callerAddress(), OBSERVED_MS);
    }

    private void sendAndRead(String request) {
        try (RawCaller caller = new RawCaller(entry.callerAddress())) {
            caller.send(request);
            caller.readAll();
        } catch (IOException e) {
            // The entry has ended the answer, or the test is over.
        }
    }
}
