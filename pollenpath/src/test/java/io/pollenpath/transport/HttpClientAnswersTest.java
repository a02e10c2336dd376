package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests calls to servers whose answers are out of step. */
class HttpClientAnswersTest {

    private static final int BACKLOG = 16;
    private static final long PAUSE_MS = 60;
    private static final long TIMEOUT_MS = 5_000;
    private static final int MANY = 40;
    private static final String HEAD_END = "\r\n\r\n";
    private static final String INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String HINTS = "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n";
    private static final String HEAD = "HTTP/1.1 200 OK\r\n";
    private static final String ANSWER = HEAD + "Content-Length: 4\r\n\r\ndone";
    private static final String SECOND = "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull";

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient client = new HttpClient(loops);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Queue<List<String>> answers = new ConcurrentLinkedQueue<>();
    private final AtomicInteger accepted = new AtomicInteger();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                accepted.incrementAndGet();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            assertThat(server.isClosed()).isTrue();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (readRequest(socket)) {
                write(socket.getOutputStream(), answers.remove());
            }
        } catch (IOException | InterruptedException e) {
            // The client closes connections that are out of step, also while an answer is written.
        }
    }

    private static boolean readRequest(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith(HEAD_END)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    private static void write(OutputStream out, List<String> pieces)
            throws IOException, InterruptedException {
        for (String piece : pieces) {
            out.write(piece.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Thread.sleep(PAUSE_MS);
        }
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        loops.close();
        server.close();
        threads.shutdownNow();
    }

    private HttpReply call(String... pieces) {
        answers.add(List.of(pieces));
        HttpAddress address = new HttpAddress("127.0.0.1", server.getLocalPort());
        return client.send(new HttpClient.Request(address, "GET", "/", Map.of(), new byte[0]))
                .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .join();
    }

    private static void assertDone(HttpReply reply) {
        assertThat(reply.status()).isEqualTo(200);
        assertThat(new String(reply.body(), StandardCharsets.ISO_8859_1)).isEqualTo("done");
    }

    private void assertFails(String... pieces) {
        CompletionException failure = assertThrows(CompletionException.class, () -> call(pieces));
        assertThat(failure).hasCauseThat().isInstanceOf(HttpCallException.class);
    }

    static List<List<String>> interimAnswers() {
        return List.of(
                List.of(INTERIM + ANSWER),
                List.of(INTERIM, ANSWER),
                List.of(HINTS + INTERIM + ANSWER),
                List.of(HINTS, INTERIM, ANSWER));
    }

    /** Guards against an interim answer that is taken for the final one. */
    @ParameterizedTest
    @MethodSource("interimAnswers")
    void anInterimAnswerEndsNoCall(List<String> pieces) {
        String[] written = pieces.toArray(String[]::new);
        assertDone(call(written));
        assertDone(call(written));
        assertThat(accepted.get()).isEqualTo(1);
    }

    @Test
    void interimAnswersWithoutEndFailTheCall() {
        assertFails(INTERIM.repeat(MANY) + ANSWER);
    }

    static List<List<String>> filledAnswers() {
        String length = HEAD + "Content-Length: 12\r\n\r\ndo";
        String chunk = HEAD + "Transfer-Encoding: chunked\r\n\r\nc\r\ndo";
        return List.of(
                List.of(length + SECOND),
                List.of(length, SECOND),
                List.of(chunk + SECOND),
                List.of(chunk, SECOND));
    }

    /** Guards against a call whose answer is filled up by the next bytes of the connection. */
    @ParameterizedTest
    @MethodSource("filledAnswers")
    void anAnswerFilledByASecondOneFailsTheCall(List<String> pieces) {
        assertFails(pieces.toArray(String[]::new));
    }

    @Test
    void aCutAnswerFailsTheCall() throws IOException {
        server.close();
        for (String head : List.of("Content-Length: 9", "Transfer-Encoding: chunked")) {
            try (ServerSocket once = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                String cut = HEAD + head + "\r\n\r\n" + "4\r\ndone";
                threads.execute(() -> answerOnce(once, cut));
                HttpAddress address = new HttpAddress("127.0.0.1", once.getLocalPort());
                HttpClient.Request request =
                        new HttpClient.Request(address, "GET", "/", Map.of(), new byte[0]);
                assertThrows(CompletionException.class, () -> client.send(request).join(), head);
            }
        }
    }

    private static void answerOnce(ServerSocket once, String answer) {
        try (Socket socket = once.accept()) {
            readRequest(socket);
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Guards against late answers of a server that has written more than was asked for. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aConnectionIsUsedOnceAfterTrouble(boolean late) throws InterruptedException {
        if (late) {
            assertDone(call(ANSWER, SECOND));
            Thread.sleep(2 * PAUSE_MS);
        } else {
            assertFails(ANSWER + SECOND);
        }
        assertDone(call(ANSWER));
        assertDone(call(ANSWER));
        assertWithMessage("connections").that(accepted.get()).isEqualTo(3);
    }
}
