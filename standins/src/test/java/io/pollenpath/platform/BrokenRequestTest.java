package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Pause;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what a caller gets, and what reaches a server, when a request is none that HTTP knows. */
class BrokenRequestTest {

    private static final int BACKLOG = 16;
    private static final int TIMEOUT_MS = 1_000;
    private static final long SETTLE_MS = 50;
    private static final String HOST = "Host: " + PlatformFixtures.HOST + "\r\n";
    private static final String FIELDS =
            "Request-Id: first\r\nAuthorization: Bearer " + PlatformFixtures.API_KEY + "\r\n";
    private static final String LINE = "POST /once/first HTTP/1.1\r\n";
    private static final String EMPTY_BODY = "Content-Length: 0\r\n\r\n";

    /** A request that nobody sent: it stands in the body of the one before it. */
    private static final String SECOND =
            "POST /once/second HTTP/1.1\r\n" + HOST + FIELDS + EMPTY_BODY;

    /** The bytes that a server gets, one text a connection read. */
    private final Queue<String> received = new ConcurrentLinkedQueue<>();

    private final NettyLoops loops = new NettyLoops(1);
    private SocketServer engine;
    private GatewayFixture gateway;

    @BeforeEach
    void start() throws IOException {
        engine =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
        gateway =
                new GatewayFixture(
                        loops, List.of(GatewayFixture.instance("engine-0", engine.port())));
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        loops.close();
        engine.close();
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        byte[] buffer = new byte[65_536];
        while (true) {
            int count = in.read(buffer);
            if (count < 0) {
                return;
            }
            received.add(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
            String answer =
                    "HTTP/1.1 200 OK\r\nUpstream-Signature: proof\r\nRequest-Id: first\r\n"
                            + "Content-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static String coded(String coding) {
        return LINE + HOST + FIELDS + "Transfer-Encoding: " + coding + "\r\n\r\n" + SECOND;
    }

    static List<String> brokenRequests() {
        String rest = HOST + FIELDS + EMPTY_BODY;
        return List.of(
                coded("xchunked"),
                coded("gzip"),
                coded("identity"),
                coded("chunked, gzip"),
                coded("gzip, chunked"),
                coded("chunked\r\nTransfer-Encoding: chunked"),
                coded("chunked\r\nContent-Length: 3"),
                LINE.replace("1.1", "1.0")
                        + HOST
                        + FIELDS
                        + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                LINE + HOST + HOST + FIELDS + EMPTY_BODY,
                LINE + HOST + "Host: other\r\n" + FIELDS + EMPTY_BODY,
                LINE.replace("1.1", "9.9") + rest,
                LINE.replace("1.1", "1.2") + rest,
                LINE.replace("1.1", "2.0") + rest,
                LINE.replace("first", "fi\u0001rst") + rest,
                LINE.replace("first", "fi\u007frst") + rest,
                LINE.replace("first", "fi\trst") + rest,
                LINE.replace("first", "fi\u0000rst") + rest,
                LINE.replace("first", "fi rst") + rest,
                LINE.replace("first", "fi\u00e9rst") + rest,
                " " + LINE + rest,
                "\t" + LINE + rest,
                "\u0000" + LINE + rest,
                LINE.replace("POST ", "POST  ") + rest,
                LINE.replace("POST ", "POST\t") + rest,
                LINE.replace("POST", "P(ST") + rest,
                LINE.replace(" HTTP", "  HTTP") + rest,
                LINE.replace("HTTP", "http") + rest,
                LINE.replace("HTTP/1.1", "HTTP/1.1 ") + rest,
                LINE.replace(" HTTP/1.1", "") + rest,
                LINE + " folded\r\n" + rest,
                LINE + "\tfolded: a\r\n" + rest,
                LINE + HOST + " folded\r\n" + FIELDS + EMPTY_BODY,
                LINE + "X Odd: a\r\n" + rest,
                LINE + "X-Odd : a\r\n" + rest,
                LINE + "X-Odd\r\n" + rest,
                LINE + ": a\r\n" + rest,
                LINE + "X-Odd: a\u0000b\r\n" + rest,
                LINE + "X-Odd: a\rb\r\n" + rest,
                LINE + HOST + FIELDS + "Content-Length : 0\r\n\r\n",
                LINE + HOST + FIELDS + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                LINE + HOST + FIELDS + "Content-Length: +1\r\n\r\na",
                LINE + HOST + FIELDS + "Content-Length: -1\r\n\r\na",
                LINE + HOST + FIELDS + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + SECOND,
                LINE + HOST + FIELDS + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
                LINE + HOST + FIELDS + "Transfer-Encoding: chunked\r\n\r\n0\r\nX Odd: a\r\n\r\n");
    }

    static List<String> soundRequests() {
        String rest = HOST + FIELDS + EMPTY_BODY;
        return List.of(
                LINE + rest,
                "\r\n" + LINE + rest,
                "\r\n\r\n" + LINE + rest,
                "\n" + LINE + rest,
                (LINE + rest).replace("\r\n", "\n"),
                LINE.replace("1.1", "1.0") + rest,
                LINE.replace("first", "first?a=%20b&c=[1]|{}^\"<>\\`") + rest,
                LINE + "X!#$%&'*+-.^_`|~9: a\r\n" + rest,
                LINE + "X-Empty:\r\n" + rest,
                LINE + "X-High: \u00e9\u00ff\r\n" + rest,
                LINE + "X-Tab: a\tb \r\n" + rest,
                LINE + "x-twice: a\r\nx-twice: b\r\n" + rest,
                LINE.replace("POST", "put") + rest,
                LINE + HOST + FIELDS + "Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\nab\r\n0\r\n\r\n",
                LINE + HOST + FIELDS + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Odd: a\r\n\r\n",
                LINE + HOST + FIELDS + "Content-Length: 0002\r\n\r\nab");
    }

    /** Guards against bytes that one side takes for a request and the other one for a body. */
    @ParameterizedTest
    @MethodSource("brokenRequests")
    void aBrokenRequestIsRefusedAtOnceAndReachesNoServer(String request) throws IOException {
        for (int writeBytes : new int[] {request.length(), 1}) {
            checkRefused(request, writeBytes);
        }
    }

    private void checkRefused(String request, int writeBytes) throws IOException {
        try (Socket socket = connect()) {
            try {
                write(socket.getOutputStream(), request, writeBytes);
            } catch (IOException e) {
                // The entry has closed the connection already; what it wrote before is read.
            }
            String answer = readHead(socket.getInputStream());
            assertWithMessage(request).that(answer).matches("(?s)HTTP/1.1 (400|501|505) .*");
            assertWithMessage(request).that(answer).contains("connection: close");
        }
        Pause.forMs(SETTLE_MS);
        assertWithMessage(request).that(received).isEmpty();
    }

    /** Guards against a judge that knows less than HTTP does. */
    @ParameterizedTest
    @MethodSource("soundRequests")
    void aSoundRequestOfUnusualLooksIsServed(String request) throws IOException {
        for (int writeBytes : new int[] {request.length(), 1}) {
            try (Socket socket = connect()) {
                write(socket.getOutputStream(), request, writeBytes);
                String answer = readHead(socket.getInputStream());
                assertWithMessage(request).that(answer).startsWith("HTTP/1.1 200 ");
            }
        }
        assertThat(received).hasSize(2);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(gateway.address().host(), gateway.address().port());
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static void write(OutputStream out, String text, int writeBytes) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int at = 0; at < bytes.length; at += writeBytes) {
            out.write(bytes, at, Math.min(writeBytes, bytes.length - at));
        }
    }

    /** Returns the head of an answer. */
    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
