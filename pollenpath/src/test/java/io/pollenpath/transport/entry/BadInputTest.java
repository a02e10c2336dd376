package io.pollenpath.transport.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.coordination.routing.LeastInFlightRouter;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.state.BackendServer;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.state.Contract;
import io.pollenpath.state.PriorityClass;
import io.pollenpath.state.RequestKind;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpObjectApi;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.PeerHandler;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.Digests;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Sends each kind of bad input over a real connection to a real entry handler. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BadInputTest {

    private static final String KEY = "alpha-key";
    private static final String HOST = "127.0.0.1";
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final int MAX_HEADER_BYTES = 2_048;
    private static final int MAX_BODY_BYTES = 4_096;
    private static final int MAX_CONNECTIONS = 3;
    private static final int MAX_PIPELINED = 2;
    private static final int REQUEST_TIMEOUT_MS = 500;
    private static final String GOOD_BODY = "{\"model\":\"model\",\"prompt\":\"p\"}";

    /** One row: what is sent, and what the last answer on the connection must be. */
    record Row(String fault, String sent, boolean halfClose, int status, String code) {
        @Override
        public String toString() {
            return fault;
        }
    }

    private final NettyLoops loops = new NettyLoops(1);
    private final Traces traces = new Traces("test", "");
    private EntryHandler handler;
    private HttpServer server;

    private ObjectApi unreachable() {
        return new HttpObjectApi(new HttpClient(loops), new HttpAddress("127.0.0.1", 1), 1_000);
    }

    @BeforeAll
    void start() {
        EntryOptions options = new EntryOptions("entry", "zone-a", 3, DeliveryLimits.DEFAULT, 1);
        handler =
                new EntryHandler(
                        options,
                        loops,
                        new LeastInFlightRouter(),
                        new ObjectApiRunClaimStore(unreachable()),
                        traces,
                        PeerHandler.ignoring());
        RequestKind kind = new RequestKind("normal", PriorityClass.NORMAL, true, 60_000);
        Contract contract =
                new Contract(
                        "alpha",
                        List.of(Digests.sha256Hex(KEY)),
                        1,
                        1_000,
                        1_000,
                        1_000,
                        0,
                        kind,
                        Map.of());
        BackendServer unreachable =
                new BackendServer(
                        "server-1", BackendServer.Role.ENGINE, "model", "zone-a", HOST, 1, false);
        handler.onConfig(new ConfigSnapshot(1, List.of(contract), List.of(unreachable)));
        HttpLimits limits =
                new HttpLimits(
                        MAX_HEADER_BYTES,
                        MAX_BODY_BYTES,
                        MAX_CONNECTIONS,
                        60_000,
                        REQUEST_TIMEOUT_MS,
                        MAX_PIPELINED,
                        true);
        server = new HttpServer(loops, HOST, 0, limits, handler);
    }

    @AfterAll
    void stop() {
        server.close();
        handler.close();
        traces.close();
        loops.close();
    }

    private static String post(String path, String headers, String body) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String authorized(String body) {
        return post("/v1/completions", "Authorization: Bearer " + KEY + "\r\n", body);
    }

    private static Row body(String fault, String body, int status, String code) {
        return new Row(fault, authorized(body), false, status, code);
    }

    private static Row header(String fault, String header, int status, String code) {
        String headers = "Authorization: Bearer " + KEY + "\r\n" + header + "\r\n";
        return new Row(fault, post("/v1/completions", headers, GOOD_BODY), false, status, code);
    }

    private static Row raw(String fault, String sent, int status, String code) {
        return new Row(fault, sent, false, status, code);
    }

    static List<Row> rows() {
        List<Row> rows = new ArrayList<>(bodies());
        rows.addAll(headers());
        rows.addAll(connections());
        return rows;
    }

    private static List<Row> bodies() {
        return List.of(
                body("no JSON", "{\"model\":", 400, "malformed_body"),
                body("empty body", "", 400, "malformed_body"),
                body("array", "[1]", 400, "malformed_body"),
                body("text after the object", GOOD_BODY + "x", 400, "malformed_body"),
                body("deep nesting", "[".repeat(3_000), 400, "malformed_body"),
                body("no model", "{}", 400, "model_missing"),
                body("model is a number", "{\"model\":3}", 400, "wrong_field"),
                body("prompt is an object", field("prompt", "{}"), 400, "wrong_field"),
                body("stream is a text", field("stream", "\"yes\""), 400, "wrong_field"),
                body("max_tokens is a text", field("max_tokens", "\"abc\""), 400, "wrong_field"),
                body("max_tokens is negative", field("max_tokens", "-1"), 400, "wrong_field"),
                body("max_tokens is zero", field("max_tokens", "0"), 400, "wrong_field"),
                body("max_tokens is a fraction", field("max_tokens", "1.5"), 400, "wrong_field"),
                body("max_tokens is huge", field("max_tokens", "99999999999"), 400, "wrong_field"),
                body("unknown model", "{\"model\":\"other\"}", 404, "unknown_target"),
                body("oversized body", "x".repeat(MAX_BODY_BYTES + 1), 413, "body_too_large"));
    }

    private static String field(String name, String value) {
        return "{\"model\":\"model\",\"" + name + "\":" + value + "}";
    }

    private static List<Row> headers() {
        String noKey = post("/v1/completions", "", GOOD_BODY);
        String otherKey = post("/v1/completions", "Authorization: Bearer x\r\n", GOOD_BODY);
        String path = post("/other", "Authorization: Bearer " + KEY + "\r\n", GOOD_BODY);
        return List.of(
                raw("no key", noKey, 401, "key_missing"),
                raw("unknown customer", otherKey, 401, "unknown_customer"),
                raw("unknown path", path, 404, "unknown_path"),
                raw("GET", authorized("").replace("POST", "GET"), 405, "method_not_allowed"),
                header("unknown kind", "Pollenpath-Kind: x", 400, "unknown_kind"),
                header(
                        "deadline is a text",
                        "Pollenpath-Deadline-Ms: x",
                        400,
                        "malformed_deadline"),
                header(
                        "deadline has passed",
                        "Pollenpath-Deadline-Ms: 0",
                        504,
                        "deadline_exceeded"),
                header("compressed body", "Content-Encoding: gzip", 415, "unsupported_encoding"),
                header("event id without dots", "Last-Event-ID: x", 400, "malformed_event_id"),
                header("event id with text", "Last-Event-ID: a.b.c", 400, "malformed_event_id"),
                header("event id of no server", "Last-Event-ID: gone.r.1", 410, "server_gone"),
                header("huge header", "X: " + "x".repeat(4_096), 431, "headers_too_large"));
    }

    private static List<Row> connections() {
        String line = "GET /" + "x".repeat(10_000) + " HTTP/1.1\r\n\r\n";
        String expect =
                String.join(
                        "\r\n",
                        "POST /v1/completions HTTP/1.1",
                        "Expect: 100-continue",
                        "Content-Length: 9999",
                        "",
                        "");
        String partial = "POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{";
        return List.of(
                raw("not HTTP", "\u0016\u0003\u0001 nonsense\r\n\r\n", 400, "malformed_request"),
                raw("bad length", expect.replace("9999", "x"), 400, "malformed_request"),
                raw("long request line", line, 414, "request_line_too_long"),
                raw("too large to continue", expect, 413, "body_too_large"),
                raw("slow head", "POST /v1/comp", 408, "request_too_slow"),
                raw("slow body", partial, 408, "request_too_slow"),
                new Row("half-closed head", "POST /v1", true, 400, "incomplete_request"),
                new Row("half-closed body", partial, true, 400, "incomplete_request"),
                new Row("half-closed after", authorized(GOOD_BODY), true, 503, "no_server"));
    }

    @ParameterizedTest
    @MethodSource("rows")
    void isToldWhatIsWrongAndThatNothingRan(Row row) throws IOException {
        String answer = exchange(row.sent(), row.halfClose());
        assertThat(answer).startsWith("HTTP/1.1 " + row.status() + " ");
        assertThat(answer).contains("urn:pollenpath:problem:" + row.code());
        assertThat(answer).contains("application/problem+json");
        assertThat(answer).contains("\"executed\":\"no\"".replace("no", executed(row)));
    }

    /** A lost answer says nothing on whether its request had run. */
    private static String executed(Row row) {
        return row.code().equals("server_gone") ? "unknown" : "no";
    }

    private String exchange(String sent, boolean halfClose) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
            if (halfClose) {
                socket.shutdownOutput();
            }
            return readAll(socket);
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void oneConnectionTooManyIsToldWhenToComeBack() throws IOException {
        List<Socket> open = new ArrayList<>();
        try {
            for (int i = 0; i < MAX_CONNECTIONS; i++) {
                Socket socket = connect();
                open.add(socket);
                socket.getOutputStream().write(keptAlive().getBytes(StandardCharsets.US_ASCII));
                assertThat(socket.getInputStream().read()).isEqualTo('H');
            }
            try (Socket extra = connect()) {
                String answer = readAll(extra);
                assertThat(answer).startsWith("HTTP/1.1 503 ");
                assertThat(answer).contains("retry-after: 1");
                assertThat(answer).contains("too_many_connections");
            }
        } finally {
            for (Socket socket : open) {
                socket.close();
            }
            awaitRoom();
        }
    }

    /** Waits until the server has noticed that the connections are closed. */
    private void awaitRoom() throws IOException {
        String answer;
        do {
            answer = exchange(authorized(GOOD_BODY), false);
        } while (answer.contains("too_many_connections"));
    }

    private static String keptAlive() {
        return authorized(GOOD_BODY).replace("Connection: close\r\n", "");
    }

    @Test
    void earlierRequestsAreAnsweredBeforeAMalformedOne() throws IOException {
        String answers = exchange(keptAlive() + keptAlive() + "BAD\r\n\r\n", false);
        assertWithMessage(answers).that(answers.split("HTTP/1.1 503 ", -1)).hasLength(3);
        String last = answers.substring(answers.lastIndexOf("HTTP/1.1 503 "));
        assertThat(last).contains("HTTP/1.1 400 ");
    }
}
