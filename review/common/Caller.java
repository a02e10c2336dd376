package review.common;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A caller that sends each request once, on a connection of its own. */
public final class Caller {

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Deployment.Entry entry;
    private final CaseRecord record;

    /** The answer to a request; status 0 if there was none in time. */
    public record Answer(String requestId, int status, String body, long elapsedMs) {}

    /** Creates a caller of an entry. */
    public Caller(Deployment.Entry entry, CaseRecord record) {
        this.entry = entry;
        this.record = record;
    }

    /** Sends a request and waits for its answer for a time. */
    public Answer call(
            String requestId, String path, String moreHeaders, byte[] body, long deadlineMs,
            long patienceMs) {
        record.add("caller sends " + requestId + " " + path + ", " + body.length + " bytes");
        long startNanos = System.nanoTime();
        Answer answer;
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(entry.ip(), entry.callerPort()), CONNECT_TIMEOUT_MS);
            socket.setSoTimeout((int) patienceMs);
            socket.getOutputStream().write(head(requestId, path, moreHeaders, body, deadlineMs));
            socket.getOutputStream().write(body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            String text = new String(Http.readBody(in, head), StandardCharsets.UTF_8);
            answer = new Answer(requestId, head.status(), text, elapsedMs(startNanos));
        } catch (IOException e) {
            answer = new Answer(requestId, 0, e.toString(), elapsedMs(startNanos));
        }
        String shown = answer.body().substring(0, Math.min(120, answer.body().length()));
        record.add(
                "caller got  " + requestId + " status " + answer.status() + " after "
                        + answer.elapsedMs() + " ms: " + shown.replaceAll("\\s+", " "));
        return answer;
    }

    private static byte[] head(
            String requestId, String path, String moreHeaders, byte[] body, long deadlineMs) {
        String fixed =
                String.join(
                        "\r\n",
                        "POST " + path + " HTTP/1.1",
                        "Host: " + Manifests.HOST,
                        "Request-Id: " + requestId,
                        "Authorization: Bearer " + Manifests.KEY,
                        "Deadline-Ms: " + deadlineMs,
                        "Content-Length: " + body.length);
        return (fixed + "\r\n" + moreHeaders + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
