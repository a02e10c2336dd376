package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what callers wait while bytes between processes come in pieces as small as can be. */
class SmallMessagesTest {

    private static final int HEAP_MB = 134;
    private static final int CONNECTIONS = 3;
    private static final long TIMEOUT_MS = 6_000;
    private static final long BEGIN_MS = 300;
    private static final long OBSERVED_MS = 4_000;
    private static final String HEAD =
            "POST /entry/knowledge HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final PlatformStoreStandin store = new PlatformStoreStandin(100);
    private SmallPiecesStore relay;
    private SmallPiecesEngine engine;
    private EntryProcess entry;

    SmallMessagesTest() throws IOException {}

    @BeforeEach
    void start() throws IOException {
        store.put(
                StoreKinds.CONFIG,
                StoreKinds.NEWEST_CONFIG,
                PlatformFixtures.manifestWithAttempts(1, EntryFleet.SERVICE, 1, TIMEOUT_MS));
        engine = new SmallPiecesEngine("engine-0", store);
        relay = new SmallPiecesStore(store.port());
        entry = new EntryProcess(relay.port(), HEAP_MB);
        entry.awaitServing("/plain/ready");
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        entry.close();
        relay.close();
        engine.close();
        store.close();
    }

    /** Guards against an event loop that is taken by the answers of the store. */
    @Test
    void answersOfTheStoreInSmallPiecesLeaveCallersTheirTurn() throws IOException {
        relay.answerInPieces();
        store.put(StoreKinds.SERVERS, "none", PlatformFixtures.serverEntry("none", 1));
        Pause.forMs(BEGIN_MS);
        OtherCaller.check(entry.callerAddress(), OBSERVED_MS);
    }

    /** Guards against the same by what other entries tell. */
    @Test
    void messagesOfEntriesInSmallPiecesLeaveCallersTheirTurn() throws IOException {
        HttpAddress address = addressForEntries();
        for (int i = 0; i < CONNECTIONS; i++) {
            callers.execute(() -> sendWithoutEnd(address));
        }
        Pause.forMs(BEGIN_MS);
        OtherCaller.check(entry.callerAddress(), OBSERVED_MS);
    }

    private HttpAddress addressForEntries() {
        return HttpAddress.parse(
                store.read(StoreKinds.ENTRIES, "entry-0")
                        .orElseThrow()
                        .at("/Spec/Address")
                        .asText());
    }

    /** Sends until the test is over, again on a new connection if the entry closes the one. */
    private static void sendWithoutEnd(HttpAddress address) {
        while (!Thread.currentThread().isInterrupted()) {
            try (Socket socket = new Socket(address.host(), address.port())) {
                OutputStream out = socket.getOutputStream();
                out.write(HEAD.getBytes(StandardCharsets.ISO_8859_1));
                PacedWriter.write(out, "1\r\na\r\n");
            } catch (IOException e) {
                // The entry has closed the connection.
            }
            Pause.forMs(PacedWriter.BURST_MS);
        }
    }
}
