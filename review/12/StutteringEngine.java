package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;

/**
 * An engine that answers with a length. While it is in trouble it stops within the body of some
 * answers, and goes on with bytes that are no response: they begin nearly like a second answer.
 */
public final class StutteringEngine {

    private static final int WORK_MS = 20;
    private static final int PAUSE_MS = 20;
    private static final String[] BROKEN_LINES = {"HTTP/1.1 2000 OK", "HTTP/2.0 200 OK"};

    private final String id;
    private final int port = Ports.free();
    private final Random random = new Random();
    private final Map<String, String> bodies;
    private final Record record;
    private volatile double spoiltShare;

    /**
     * @param bodies receives the whole body of each request's answer
     */
    StutteringEngine(String id, Store store, Map<String, String> bodies, Record record)
            throws IOException {
        this.id = id;
        this.bodies = bodies;
        this.record = record;
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(Ports.HOST), port));
        start(() -> accept(listener));
        store.put(
                "servers",
                id,
                "{\"Service\":\"alerts\",\"Address\":\"%s\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":%d}"
                        .formatted(Settings.address(port), System.currentTimeMillis()));
    }

    /** Spoils a share of the answers from now on. */
    void setSpoiltShare(double share) {
        spoiltShare = share;
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Http http = new Http(socket.getInputStream());
            for (Http.Head head = http.head(); head != null; head = http.head()) {
                http.body(head, new ByteArrayOutputStream());
                answer(head, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    private void answer(Http.Head head, OutputStream out) throws IOException {
        if (!head.field("Expect-Instance").equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        pause(WORK_MS);
        String requestId = head.field("Request-Id");
        String body = "filed " + requestId + " " + "x".repeat(600 + random.nextInt(400));
        bodies.put(requestId, body);
        String answer = head(requestId, "HTTP/1.1 200 OK", body.length()) + body;
        if (random.nextDouble() >= spoiltShare) {
            write(out, answer);
            return;
        }
        int missing = 40 + random.nextInt(300);
        String line = BROKEN_LINES[random.nextInt(BROKEN_LINES.length)];
        record.line("engine " + id + " stops " + missing + " bytes before the end of " + requestId + ", goes on with " + line);
        write(out, answer.substring(0, answer.length() - missing));
        pause(PAUSE_MS);
        write(out, head(requestId, line, body.length()) + body);
    }

    private static String head(String requestId, String line, int length) {
        return line
                + "\r\nRequest-Id: "
                + requestId
                + "\r\nUpstream-Signature: 3e1b."
                + requestId
                + "\r\nContent-Type: text/plain\r\nContent-Length: "
                + length
                + "\r\n\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
