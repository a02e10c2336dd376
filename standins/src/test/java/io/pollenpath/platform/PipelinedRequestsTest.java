package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what others wait at an entry process while callers send small requests without a pause. */
class PipelinedRequestsTest {

    private static final int HEAP_MB = 134;
    private static final int CONNECTIONS = 3;
    private static final long TIMEOUT_MS = 6_000;
    private static final long OBSERVED_MS = 10_000;
    private static final long SHORT_OBSERVED_MS = 3_000;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final PlatformStoreStandin store = new PlatformStoreStandin(100);
    private SmallPiecesEngine engine;
    private EntryProcess entry;

    PipelinedRequestsTest() throws IOException {}

    /** What a caller sends again and again. */
    enum Sent {
        /** Requests that are refused at once. */
        UNKNOWN_ROUTES("GET /none HTTP/1.1\r\nHost: a\r\n\r\n"),

        /** A request whose head does not end. */
        SMALL_FIELDS("a:\r\n"),

        /** Requests that no server gets, since their heads can't be read. */
        EMPTY_LINES("\r\n");

        private final String text;

        Sent(String text) {
            this.text = text;
        }
    }

    @BeforeEach
    void start() throws IOException {
        store.put(
                StoreKinds.CONFIG,
                StoreKinds.NEWEST_CONFIG,
                PlatformFixtures.manifestWithAttempts(1, EntryFleet.SERVICE, 1, TIMEOUT_MS));
        engine = new SmallPiecesEngine("engine-0", store);
        entry = new EntryProcess(store.port(), HEAP_MB);
        entry.awaitServing("/plain/ready");
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        entry.close();
        engine.close();
        store.close();
    }

    /** Guards against answers without a bound that wait for a caller which takes none of them. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /none HTTP/1.1\r\nHost: a\r\n\r\n"})
    void callersThatReadNoAnswersLeaveOthersTheirTurn(String request) throws IOException {
        for (int i = 0; i < CONNECTIONS; i++) {
            callers.execute(() -> sendWithoutEnd(request, false));
        }
        OtherCaller.check(entry.callerAddress(), OBSERVED_MS);
        assertThat(entry.isAlive()).isTrue();
    }

    /** Guards against an event loop that is taken by the work for each small request or field. */
    @ParameterizedTest
    @EnumSource(Sent.class)
    void callersThatReadTheirAnswersLeaveOthersTheirTurn(Sent sent) throws IOException {
        for (int i = 0; i < CONNECTIONS; i++) {
            callers.execute(() -> sendWithoutEnd(sent.text, true));
        }
        OtherCaller.check(entry.callerAddress(), SHORT_OBSERVED_MS);
    }

    /** Sends until the test is over, again on a new connection if the entry closes the one. */
    private void sendWithoutEnd(String text, boolean reading) {
        String begin = text.startsWith("GET") ? "" : "GET /none HTTP/1.1\r\n";
        while (!Thread.interrupted()) {
            try (Socket socket =
                    new Socket(entry.callerAddress().host(), entry.callerAddress().port())) {
                if (reading) {
                    callers.execute(() -> readAll(socket));
                }
                OutputStream out = socket.getOutputStream();
                out.write(begin.getBytes(StandardCharsets.ISO_8859_1));
                PacedWriter.write(out, text);
            } catch (IOException e) {
                // The entry has closed the connection, or the test is over.
            }
            Pause.forMs(PacedWriter.BURST_MS);
        }
    }

    private static void readAll(Socket socket) {
        try (InputStream in = socket.getInputStream()) {
            in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The connection has ended.
        }
    }
}
