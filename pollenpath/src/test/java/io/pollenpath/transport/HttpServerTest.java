package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpServerTest {

    private static final int TIMEOUT_MS = 20_000;
    private static final int MAX_PIPELINED = 2;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    private final NettyLoops loops = new NettyLoops(1);
    private final LinkedBlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    private final HttpServer server =
            new HttpServer(
                    loops,
                    "127.0.0.1",
                    0,
                    new HttpLimits(1_024, 1_024, 10, 60_000, 60_000, MAX_PIPELINED, true),
                    (call, exchange) -> exchanges.add(exchange));

    @AfterEach
    void stop() {
        server.close();
        loops.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private HttpExchange nextExchange() throws InterruptedException {
        HttpExchange exchange = exchanges.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertThat(exchange).isNotNull();
        return exchange;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readUntil(InputStream in, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = in.read();
            assertThat(next).isAtLeast(0);
            text.append((char) next);
        }
        return text.toString();
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static void answer(HttpExchange exchange) {
        exchange.respond(200, "text/plain", Map.of(), new byte[] {'k'});
    }

    @Test
    void rejectsExcessPipelinedRequestsAfterTheEarlierAnswers() throws Exception {
        try (Socket socket = connect()) {
            send(socket, REQUEST.repeat(MAX_PIPELINED + 2));
            for (int i = 0; i < MAX_PIPELINED + 1; i++) {
                answer(nextExchange());
            }
            String answers = readAll(socket);
            assertThat(answers.split("HTTP/1.1 200 ", -1)).hasLength(MAX_PIPELINED + 2);
            assertThat(answers).contains("HTTP/1.1 429 ");
            assertThat(answers).contains("too_many_pipelined");
        }
    }

    @Test
    void stoppingDoesNotInterruptOpenStreams() throws Exception {
        try (Socket socket = connect()) {
            send(socket, REQUEST);
            HttpExchange exchange = nextExchange();
            exchange.startStream(200, "text/event-stream", Map.of());
            exchange.write("data: 1\n\n".getBytes(StandardCharsets.US_ASCII));
            readUntil(socket.getInputStream(), "data: 1");
            server.stopAccepting();
            exchange.write("data: 2\n\n".getBytes(StandardCharsets.US_ASCII));
            exchange.endStream();
            readUntil(socket.getInputStream(), "data: 2");
            readUntil(socket.getInputStream(), "\r\n0\r\n\r\n");
            send(socket, REQUEST);
            answer(nextExchange());
            assertThat(readAll(socket)).contains("connection: close");
        }
    }

    @Test
    void answersWhileStoppingCloseTheirConnections() throws Exception {
        try (Socket socket = connect()) {
            send(socket, REQUEST);
            HttpExchange exchange = nextExchange();
            server.stopAccepting();
            answer(exchange);
            String answer = readAll(socket);
            assertThat(answer).contains("connection: close");
            assertThat(answer).endsWith("k");
        }
    }

    @Test
    void failingHandlerIsReportedToTheCaller() throws Exception {
        HttpHandler failing =
                (call, exchange) -> {
                    throw new IllegalStateException("no");
                };
        try (HttpServer other = new HttpServer(loops, "127.0.0.1", 0, HttpLimits.DEFAULT, failing);
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), other.port())) {
            socket.setSoTimeout(TIMEOUT_MS);
            send(socket, REQUEST);
            assertThat(readUntil(socket.getInputStream(), "}")).contains("internal_error");
        }
    }

    /** Guards against a body that is read as the next request of the connection. */
    @ParameterizedTest
    @CsvSource({"501,1.1,Transfer-Encoding: xchunked", "505,9.9,X-Odd: a", "400,1.1,X Odd: a"})
    void refusesARequestThatHttpDoesNotKnow(int status, String version, String field)
            throws Exception {
        try (Socket socket = connect()) {
            String head = "POST / HTTP/" + version + "\r\nHost: x\r\n" + field + "\r\n\r\n";
            send(socket, head + REQUEST);
            assertThat(readAll(socket)).startsWith("HTTP/1.1 " + status + " ");
        }
        assertThat(exchanges).isEmpty();
    }
}
