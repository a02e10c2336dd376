package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

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
import java.util.concurrent.TimeUnit;
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

    /** What an answer at a timeout may take. */
    private static final long MAX_WAIT_MS = 500;

    /** The bytes of 10 ms on a link of 14 Mbit/s. */
    private static final int BURST_BYTES = 17_500;

    private static final long BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

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
        checkOthers(OBSERVED_MS);
    }

    /** Guards against an event loop that is taken by the work for each small request or field. */
    @ParameterizedTest
    @EnumSource(Sent.class)
    void callersThatReadTheirAnswersLeaveOthersTheirTurn(Sent sent) throws IOException {
        for (int i = 0; i < CONNECTIONS; i++) {
            callers.execute(() -> sendWithoutEnd(sent.text, true));
        }
        checkOthers(SHORT_OBSERVED_MS);
    }

    /** Sends until the test is over, again on a new connection if the entry closes the one. */
    private void sendWithoutEnd(String text, boolean reading) {
        byte[] burst =
                text.repeat(BURST_BYTES / text.length()).getBytes(StandardCharsets.ISO_8859_1);
        String begin = text.startsWith("GET") ? "" : "GET /none HTTP/1.1\r\n";
        while (!Thread.interrupted()) {
            try (Socket socket =
                    new Socket(entry.callerAddress().host(), entry.callerAddress().port())) {
                if (reading) {
                    callers.execute(() -> readAll(socket));
                }
                OutputStream out = socket.getOutputStream();
                out.write(begin.getBytes(StandardCharsets.ISO_8859_1));
                sendBursts(out, burst);
            } catch (IOException e) {
                // The entry has closed the connection, or the test is over.
            }
        }
    }

    private static void sendBursts(OutputStream out, byte[] burst) throws IOException {
        long nextNanos = System.nanoTime();
        while (!Thread.currentThread().isInterrupted()) {
            out.write(burst);
            nextNanos += BURST_NANOS;
            long waitMs = TimeUnit.NANOSECONDS.toMillis(nextNanos - System.nanoTime());
            Pause.forMs(Math.max(0, waitMs));
        }
    }

    private static void readAll(Socket socket) {
        try (InputStream in = socket.getInputStream()) {
            in.transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    private void checkOthers(long observedMs) throws IOException {
        long startNanos = System.nanoTime();
        long longestMs = 0;
        while (elapsedMs(startNanos) < observedMs) {
            longestMs = Math.max(longestMs, callOther());
        }
        assertWithMessage("longest wait of others, in ms").that(longestMs).isAtMost(MAX_WAIT_MS);
        assertThat(entry.isAlive()).isTrue();
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
