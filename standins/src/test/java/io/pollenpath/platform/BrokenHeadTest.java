package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.NettyLoops;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what callers get when a server's answer has a head that HTTP's grammar doesn't allow. */
class BrokenHeadTest {

    /** So many that none is asked again soon after a broken answer. */
    private static final int ENGINES = 8;

    private static final int BACKLOG = 16;
    private static final String LETTER = "The letter that the caller asked for.";
    private static final String EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    private static final String PROOF = "Upstream-Signature: proof\r\n";

    /** Lines of fields that the grammar doesn't know. */
    private static final List<String> LINES =
            List.of(
                    "X-Odd Name: a",
                    "X-Odd\tName: a",
                    "X-Odd : a",
                    "X-Odd\t: a",
                    " folded",
                    "\tfolded",
                    "X-\u0001Odd: a",
                    "X-\u0000Odd: a",
                    "X-\u007fOdd: a",
                    "X-\u00e9: a",
                    "X(Odd): a",
                    "X-Odd",
                    ": a",
                    "X-Odd: a\u0000b",
                    "X-Odd: a\u0001b",
                    "X-Odd: a\rb",
                    "Content-Length : 5",
                    "Transfer-Encoding : chunked");

    private static final int MORE_THAN_A_HEAD = 100_000;
    private static final int ALL_BYTES = Integer.MAX_VALUE;

    /** The text that shows that a caller got bytes of the first answer, which a case describes. */
    private static final String MARK = "first-answer";

    /** The part of the caller's 2,000 ms within which a request that can't be served is refused. */
    private static final long AT_ONCE_MS = 1_000;

    private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();
    private final NettyLoops loops = new NettyLoops(1);
    private final List<SocketServer> engines = new ArrayList<>();
    private GatewayFixture gateway;
    private volatile Row played;

    /** The number of bytes that a server writes at once. */
    private volatile int bytesPerWrite = ALL_BYTES;

    /** The bytes after which the first answer goes no further; empty for the whole of it. */
    private volatile String stopped = "";

    /** The bytes behind each sound answer. */
    private volatile String behind = "";

    /**
     * The first answer to a request.
     *
     * @param name what is broken in it, or unusual, not null
     * @param before what comes before the head of the final answer, not null
     * @param statusLine the status line without its end, not null
     * @param fields the fields behind the request's ID and the proof, not null
     * @param trailers the trailers of an answer in chunks, not null; empty for one with a length
     */
    private record Row(
            String name, String before, String statusLine, String fields, String trailers) {

        private static final String OK = "HTTP/1.1 200 OK";

        static Row status(String statusLine) {
            return new Row(statusLine, "", statusLine, "", "");
        }

        static Row field(String line) {
            return new Row(line, "", OK, line + "\r\n", "");
        }

        static Row interim(String name, String head) {
            return new Row("interim: " + name, head + "\r\n\r\n", OK, "", "");
        }

        static Row trailer(String line) {
            return new Row("trailer: " + line, "", OK, "", "X-Sum: a\r\n" + line + "\r\n");
        }

        @Override
        public String toString() {
            return name;
        }
    }

    /** Returns status lines with a version, a status or a blank that the grammar doesn't know. */
    static List<Row> statusLines() {
        List<Row> rows = new ArrayList<>();
        for (String status :
                List.of("000", "0", "099", "20", "2000", "600", "999", "+200", "0200", "-200")) {
            rows.add(Row.status("HTTP/1.1 " + status + " Status"));
        }
        rows.add(Row.status("HTTP/1.1 000"));
        rows.add(Row.status("HTTP/2.0 200 OK"));
        rows.add(Row.status("HTTP/1.2 200 OK"));
        rows.add(Row.status("HTTP/11 200 OK"));
        rows.add(Row.status("http/1.1 200 OK"));
        rows.add(Row.status("HTTP/1.1  200 OK"));
        rows.add(Row.status("HTTP/1.1\t200 OK"));
        rows.add(Row.status("HTTP/1.1 200\tOK"));
        rows.add(Row.status("HTTP/1.1 200 O\u0001K"));
        rows.add(Row.status(" HTTP/1.1 200 OK"));
        rows.add(Row.status("\u0000HTTP/1.1 200 OK"));
        rows.add(Row.interim("000", "HTTP/1.1 000 Status\r\nLink: " + MARK));
        return rows;
    }

    /** Returns field lines that the grammar doesn't know, in final and in interim answers. */
    static List<Row> fieldLines() {
        List<Row> rows = new ArrayList<>();
        String longLine = "X-Long: " + "a".repeat(MORE_THAN_A_HEAD) + "\r\n";
        rows.add(new Row("a head above the largest size", "", Row.OK, longLine, ""));
        for (String line : LINES) {
            rows.add(Row.field(line));
            rows.add(Row.interim(line, "HTTP/1.1 103 Hints\r\n" + line));
        }
        return rows;
    }

    /** Returns refusals with a broken head, which must not be believed: the request may run. */
    static List<Row> refusals() {
        String notRun = "Not-Executed: 1\r\nRetry-After: 1\r\n";
        return List.of(
                new Row("503", "", "HTTP/1.1 503 Full", notRun + "X-Odd Name: a\r\n", ""),
                new Row("421", "", "HTTP/1.1 421 Other", notRun + "X-Odd Name: a\r\n", ""),
                new Row("503 in 2.0", "", "HTTP/2.0 503 Full", notRun, ""));
    }

    /** Returns heads of sound lines that don't tell how long the body is, or that tell it twice. */
    static List<Row> framings() {
        String length = "Content-Length: 5\r\n";
        String chunked = "Transfer-Encoding: chunked\r\n";
        return List.of(
                new Row("two lengths", "", Row.OK, length, ""),
                new Row("two lengths, 1.0", "", "HTTP/1.0 200 OK", length, ""),
                new Row("length and chunks", "", Row.OK, chunked, ""),
                new Row("length and chunks in chunks", "", Row.OK, length, "X: a\r\n"),
                new Row("chunks twice", "", Row.OK, chunked, "X: a\r\n"),
                new Row("chunks, 1.0", "", "HTTP/1.0 200 OK", "", "X: a\r\n"),
                Row.field("Transfer-Encoding: gzip"),
                Row.field("Transfer-Encoding: xchunked"),
                Row.field("Transfer-Encoding: chunked, gzip"),
                Row.field("Content-Length: -5"),
                Row.field("Content-Length: 5, 5"),
                Row.field("Content-Length: "),
                new Row("gzip in chunks", "", Row.OK, "Transfer-Encoding: gzip\r\n", "X: a\r\n"),
                new Row("101", "", "HTTP/1.1 101 Other", "Upgrade: other\r\n", ""),
                Row.interim("101", "HTTP/1.1 101 Other\r\nUpgrade: other"));
    }

    static List<Row> trailers() {
        return LINES.stream().map(Row::trailer).toList();
    }

    /** Returns sound answers of unusual looks, each with a mark in its head. */
    static List<Row> soundAnswers() {
        return List.of(
                Row.status("HTTP/1.1 200 "),
                Row.status("HTTP/1.1 200"),
                Row.status("HTTP/1.0 200 OK"),
                Row.status("HTTP/1.1 200 " + "long ".repeat(800)),
                Row.status("HTTP/1.1 200 \u00e9\tOK: \u00ff"),
                Row.field("!#$%&'*+-.^_`|~aZ9: a"),
                Row.field("X-Empty:"),
                Row.field("X-Text:\ta:\tb \u00e9\u0080 "),
                Row.field("X-Twice: a\r\nX-Twice: b"),
                Row.interim("100", "HTTP/1.1 100 Continue"),
                Row.interim("103", "HTTP/1.1 103 Hints\r\nLink: a\r\nLink: b"),
                Row.trailer("X-Sum: b"));
    }

    private String answer(PlatformEngineStandin.ReceivedRequest request) {
        String id = request.header("request-id");
        boolean stream = request.path().startsWith("/stream");
        String body = stream ? EVENTS : LETTER;
        String type = stream ? "Content-Type: text/event-stream\r\n" : "";
        String common = "Request-Id: " + id + "\r\n" + type + PROOF;
        String length = "Content-Length: " + body.length() + "\r\n\r\n";
        boolean first = arrivals.merge(id, 1, Integer::sum) == 1;
        if (!first || !behind.isEmpty()) {
            return "HTTP/1.1 200 OK\r\n" + common + length + body + behind;
        }
        if (!stopped.isEmpty()) {
            return stopped;
        }
        String mark = "X-Mark: " + MARK + "\r\n";
        String head = played.statusLine() + "\r\n" + mark + common + played.fields();
        boolean chunked = !played.trailers().isEmpty();
        return played.before() + head + (chunked ? chunks(body) : length + body);
    }

    private String chunks(String body) {
        String size = Integer.toHexString(body.length());
        String chunk = size + "\r\n" + body + "\r\n0\r\n";
        return "Transfer-Encoding: chunked\r\n\r\n" + chunk + played.trailers() + "\r\n";
    }

    @BeforeEach
    void startEngines() throws IOException {
        List<ServerInstance> instances = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
            SocketServer engine = new SocketServer(listener, this::serve);
            engines.add(engine);
            instances.add(GatewayFixture.instance("engine-" + i, engine.port()));
        }
        gateway = new GatewayFixture(loops, instances);
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        loops.close();
        for (SocketServer engine : engines) {
            engine.close();
        }
    }

    /** Answers the requests of one connection, and keeps it open. */
    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        socket.setTcpNoDelay(true);
        while (true) {
            byte[] answer = answer(RequestReader.read(in)).getBytes(StandardCharsets.ISO_8859_1);
            int count = Math.min(answer.length, bytesPerWrite);
            for (int start = 0; start < answer.length; start += count) {
                int length = Math.min(count, answer.length - start);
                socket.getOutputStream().write(answer, start, length);
            }
        }
    }

    /** Returns what a caller gets on the given route, which must come at once. */
    private RawCaller.Answer call(String route) throws IOException {
        long startNanos = System.nanoTime();
        try (RawCaller caller = new RawCaller(gateway.address())) {
            caller.send(RawCaller.request(route, "/" + route + "/letter", "{}"));
            RawCaller.Answer answer = caller.readWhole();
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertWithMessage("time until the answer").that(elapsedMs).isLessThan(AT_ONCE_MS);
            return answer;
        }
    }

    /** Guards against a broken answer that is passed on, or that leaves its caller waiting. */
    @ParameterizedTest
    @MethodSource({"statusLines", "fieldLines", "refusals", "framings"})
    void anAnswerWithABrokenHeadIsNotPassedOn(Row row) throws IOException {
        played = row;
        assertServedByAnother("plain", LETTER);
        assertServedByAnother("stream", EVENTS);
        assertFailed("once");
        assertFailed("stream-final");
    }

    /** Guards against a sound answer that is refused, in one write or in many. */
    @ParameterizedTest
    @MethodSource("soundAnswers")
    void aSoundAnswerOfUnusualLooksIsServed(Row row) throws IOException {
        played = row;
        for (int bytes : List.of(ALL_BYTES, 60, 1)) {
            bytesPerWrite = bytes;
            arrivals.clear();
            assertServedByTheFirst("plain", 200, LETTER);
            assertServedByTheFirst("stream", 200, EVENTS);
            assertServedByTheFirst("once", 200, LETTER);
            assertServedByTheFirst("stream-final", 200, EVENTS);
        }
    }

    /** Guards against a failure of a server, or a status that no one knows, that is refused. */
    @ParameterizedTest
    @ValueSource(ints = {299, 418, 599})
    void aSoundStatusIsPassedOn(int status) throws IOException {
        played = Row.status("HTTP/1.1 " + status + " Status");
        assertServedByTheFirst("once", status, LETTER);
    }

    private void assertServedByTheFirst(String route, int status, String body) throws IOException {
        RawCaller.Answer answer = call(route);
        assertWithMessage(route + ": " + answer).that(answer.status()).isEqualTo(status);
        assertWithMessage(route).that(answer.headers()).containsEntry("x-mark", MARK);
        assertWithMessage(route)
                .that(answer.headers())
                .containsEntry("upstream-signature", "proof");
        assertWithMessage(route).that(answer.body()).isEqualTo(body);
        assertWithMessage("runs of " + route).that(arrivals.get(route)).isEqualTo(1);
    }

    /** Guards against a head that is judged by its first piece alone. */
    @Test
    void aBrokenHeadInPiecesIsNotPassedOn() throws IOException {
        bytesPerWrite = 1;
        for (Row row :
                List.of(
                        Row.status("HTTP/1.1 000 Status"),
                        Row.field("X-Odd Name: a"),
                        Row.field(" folded"),
                        Row.interim("103", "HTTP/1.1 103 Hints\r\nX-Odd Name: a"))) {
            played = row;
            arrivals.clear();
            assertServedByAnother("plain", LETTER);
            assertFailed("once");
        }
    }

    /** Guards against a server that begins a broken head and leaves its caller waiting. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 0", "HTTP/1.1 200 OK\r\nX-Odd N", "HTTP/1.1 200 OK\r\n "})
    void theFirstBrokenByteIsEnough(String begin) throws IOException {
        stopped = begin;
        assertServedByAnother("plain", LETTER);
        assertFailed("once");
    }

    /** Guards against an answer that is lost for a broken one behind it, or taken for that one. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 Status", "HTTP/1.1 200 OK\r\nX-Odd Name: a"})
    void aBrokenAnswerBehindASoundOneIsNoOnes(String begin) throws IOException {
        behind = begin + "\r\nX-Mark: " + MARK + "\r\nContent-Length: 4\r\n\r\noops";
        for (String route : List.of("plain", "once", "stream", "stream-final")) {
            for (int i = 0; i < 2 * ENGINES; i++) {
                RawCaller.Answer answer = call(route);
                assertWithMessage(route).that(answer.status()).isEqualTo(200);
                assertWithMessage(route).that(answer.toString()).doesNotContain(MARK);
                assertWithMessage(route)
                        .that(answer.body())
                        .isEqualTo(route.startsWith("stream") ? EVENTS : LETTER);
            }
            assertWithMessage("runs of " + route).that(arrivals.get(route)).isEqualTo(2 * ENGINES);
        }
    }

    /** Guards against an answer in chunks that is taken as whole though its end is broken. */
    @ParameterizedTest
    @MethodSource("trailers")
    void anAnswerWithABrokenTrailerIsNotWhole(Row row) throws IOException {
        played = row;
        assertServedByAnother("plain", LETTER);
        assertFailed("once");
        assertThrows(EOFException.class, () -> call("stream-final"));
    }

    /** A request that may run again gets the sound answer, which is the second. */
    private void assertServedByAnother(String route, String body) throws IOException {
        RawCaller.Answer answer = call(route);
        assertWithMessage(route + ": " + answer).that(answer.status()).isEqualTo(200);
        assertWithMessage(route).that(answer.toString()).doesNotContain(MARK);
        assertWithMessage(route).that(answer.body()).isEqualTo(body);
        assertWithMessage(route).that(answer.headers()).containsKey("upstream-signature");
        assertWithMessage("runs of " + route).that(arrivals.get(route)).isEqualTo(2);
    }

    /** A request that may run once fails without a proof, and without a promise. */
    private void assertFailed(String route) throws IOException {
        RawCaller.Answer answer = call(route);
        assertWithMessage(route + ": " + answer).that(answer.status()).isEqualTo(502);
        assertWithMessage(route).that(answer.toString()).doesNotContain(MARK);
        assertWithMessage(route).that(answer.headers()).doesNotContainKey("upstream-signature");
        assertWithMessage("runs of " + route).that(arrivals.get(route)).isEqualTo(1);
    }
}
