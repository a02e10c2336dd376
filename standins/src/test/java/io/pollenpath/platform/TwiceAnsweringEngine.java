package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.util.Pause;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine that keeps its connections open and answers a part of the requests twice. */
final class TwiceAnsweringEngine implements AutoCloseable {

    /** The end of the paths whose answers quote the head of an answer. */
    static final String QUOTING = "/quote";

    private static final int BACKLOG = 64;
    private static final int EVENTS = 6;
    private static final String LENGTH = "Content-Length: ";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n";

    /** Fewer bytes than a head has. */
    private static final int FEW_BYTES = 60;

    private static final int MIN_PAUSE_MS = 20;
    private static final int MAX_PAUSE_MS = 400;
    private static final int MAX_BYTE_PAUSE_MS = 3;
    private static final int MAX_PIECE_BYTES = 90;

    /** A second answer that is cut keeps the bytes that show that it is one. */
    private static final int MIN_SECOND_BYTES = 16;

    private final SocketServer server;
    private final SecondAnswer fault;
    private final Random random;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger second = new AtomicInteger();

    /**
     * Starts an engine.
     *
     * @param fault where the second answers come, not null
     * @param seed the seed of all choices
     */
    TwiceAnsweringEngine(String id, PlatformStoreStandin store, SecondAnswer fault, long seed)
            throws IOException {
        this.fault = fault;
        random = new Random(seed);
        server =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
        store.put(
                StoreKinds.SERVERS,
                id,
                PlatformFixtures.serverEntry(EntryFleet.SERVICE, server.port()));
    }

    /** Returns how many requests were answered twice. */
    int secondAnswers() {
        return second.get();
    }

    /** Returns how often each request was run. */
    Map<String, Integer> runs() {
        return runs;
    }

    /** Returns the body of the whole answer to a request. */
    static String bodyOf(String requestId, String path) {
        if (!path.startsWith("/stream")) {
            String letter = ("The letter of " + requestId + ". ").repeat(40);
            return path.endsWith(QUOTING) ? letter + QuotedHead.of(requestId) : letter;
        }
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            events.append("id: ").append(i).append("\ndata: part ").append(i).append(" of ");
            events.append(requestId).append(" ").append("text".repeat(20)).append("\n");
            events.append(path.endsWith(QUOTING) ? QuotedHead.asEventLines(requestId) : "");
            events.append("\n");
        }
        return events.toString();
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        List<PlatformEngineStandin.ReceivedRequest> received = new ArrayList<>();
        while (true) {
            PlatformEngineStandin.ReceivedRequest request = RequestReader.read(in);
            runs.merge(request.header("request-id"), 1, Integer::sum);
            received.add(request);
            int last = received.size() - 1;
            boolean hasSecond = fault != SecondAnswer.NEVER && last >= fault.requestsBefore();
            if (request.path().endsWith("/ready") || !hasSecond || random.nextBoolean()) {
                writeWhole(out, wholeAnswer(request, framing()));
            } else if (fault == SecondAnswer.BEHIND_NO_LENGTH) {
                boolean again = last == 0 || random.nextBoolean();
                answerWithoutLength(out, request, again ? request : received.get(last - 1));
                return;
            } else {
                stopAndGoOn(out, request, received.get(last - fault.requestsBefore()));
            }
        }
    }

    private String framing() {
        return random.nextInt(3) == 0 ? CHUNKS : LENGTH;
    }

    /** Stops within an answer and goes on with an answer to the same or another request. */
    private void stopAndGoOn(
            OutputStream out,
            PlatformEngineStandin.ReceivedRequest request,
            PlatformEngineStandin.ReceivedRequest next)
            throws IOException {
        if (request.method().equals("HEAD")) {
            write(out, head(request, 200, LENGTH));
            writeSecond(out, answerAgain(request));
            return;
        }
        String body = bodyOf(request);
        String head = head(request, 200, framing());
        String size = head.contains(CHUNKS) ? Integer.toHexString(body.length()) + "\r\n" : "";
        int most = random.nextBoolean() ? FEW_BYTES : body.length();
        int missing = 1 + random.nextInt(most);
        write(out, head + size + body.substring(0, body.length() - missing));
        if (fault == SecondAnswer.NO_ANSWER) {
            writeSecond(out, bytesOfNoAnswer(missing + 1 + random.nextInt(FEW_BYTES)));
            return;
        }
        String again = request.equals(next) ? answerAgain(request) : wholeAnswer(next, framing());
        String last = fault == SecondAnswer.TWICE_MORE ? answerAgain(request) : "";
        writeSecond(out, again + last);
    }

    /** Returns bytes that do not begin like an answer where the body ends. */
    private String bytesOfNoAnswer(int count) {
        List<String> kinds =
                List.of(
                        "HTTP/1.1 2000 OK\r\nRequest-Id: other\r\n\r\noops",
                        "HTTP/2.0 200 OK\r\nUpstream-Signature: other\r\n\r\noops",
                        "The server has failed. ",
                        "<html>\n<body>\n<p>It failed.</p>\n</body>\n</html>\n",
                        "\0",
                        "id: 9\ndata: other\n\n");
        return kinds.get(random.nextInt(kinds.size())).repeat(count).substring(0, count);
    }

    /** Answers without naming an end, and then a second time, up to any byte of that answer. */
    private void answerWithoutLength(
            OutputStream out,
            PlatformEngineStandin.ReceivedRequest request,
            PlatformEngineStandin.ReceivedRequest next)
            throws IOException {
        write(out, head(request, 200, "Connection: close\r\n") + bodyOf(request));
        String answer = request.equals(next) ? answerAgain(request) : wholeAnswer(next, framing());
        int headBytes = answer.indexOf("\r\n\r\n");
        int most = random.nextInt(4) == 0 ? answer.length() : headBytes;
        int end = MIN_SECOND_BYTES + random.nextInt(most - MIN_SECOND_BYTES);
        writeSecond(out, answer.substring(0, end));
    }

    private String answerAgain(PlatformEngineStandin.ReceivedRequest request) {
        int status = List.of(200, 500, 503).get(random.nextInt(3));
        String interim = random.nextInt(8) == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "";
        String body = "Another letter of " + request.header("request-id") + ". ";
        String all = body.repeat(1 + random.nextInt(60));
        String length = "Content-Length: " + all.length() + "\r\n";
        return interim + head(request, status, length) + all;
    }

    private String wholeAnswer(PlatformEngineStandin.ReceivedRequest request, String framing) {
        String body = bodyOf(request);
        String head = head(request, 200, framing);
        if (request.method().equals("HEAD")) {
            return head;
        }
        return framing.equals(CHUNKS)
                ? head + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n"
                : head + body;
    }

    private String head(PlatformEngineStandin.ReceivedRequest request, int status, String framing) {
        String bytes =
                framing.equals(LENGTH) ? LENGTH + bodyOf(request).length() + "\r\n" : framing;
        boolean stream = status == 200 && request.path().startsWith("/stream");
        List<String> fields = new ArrayList<>();
        fields.add(bytes);
        fields.add("Request-Id: " + request.header("request-id") + "\r\n");
        fields.add("Upstream-Signature: proof\r\n");
        fields.add("Keep-Alive: timeout=30\r\n");
        fields.add("Content-Type: text/" + (stream ? "event-stream" : "plain") + "\r\n");
        Collections.shuffle(fields, random);
        return "HTTP/1.1 " + status + " Status\r\n" + String.join("", fields) + "\r\n";
    }

    private static String bodyOf(PlatformEngineStandin.ReceivedRequest request) {
        return bodyOf(request.header("request-id"), request.path());
    }

    /** Writes a whole answer: at once, or slowly in many pieces. */
    private void writeWhole(OutputStream out, String bytes) throws IOException {
        if (fault != SecondAnswer.NEVER) {
            write(out, bytes);
            return;
        }
        int start = 0;
        while (start < bytes.length()) {
            int end = Math.min(bytes.length(), start + 1 + random.nextInt(MAX_PIECE_BYTES));
            write(out, bytes.substring(start, end));
            Pause.forMs(random.nextInt(MAX_BYTE_PAUSE_MS));
            start = end;
        }
    }

    /** Writes a second answer late: at once, in two pieces, or each byte by itself. */
    private void writeSecond(OutputStream out, String bytes) throws IOException {
        second.incrementAndGet();
        Pause.forMs(MIN_PAUSE_MS + random.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS));
        int pace = random.nextInt(6);
        if (pace == 0) {
            int end = 1 + random.nextInt(Math.min(FEW_BYTES, bytes.length() - 1));
            write(out, bytes.substring(0, end));
            Pause.forMs(random.nextInt(MIN_PAUSE_MS));
            write(out, bytes.substring(end));
        } else if (pace == 1) {
            for (int i = 0; i < bytes.length(); i++) {
                write(out, bytes.substring(i, i + 1));
                Pause.forMs(random.nextInt(MAX_BYTE_PAUSE_MS));
            }
        } else {
            write(out, bytes);
        }
    }

    private static void write(OutputStream out, String bytes) throws IOException {
        out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
