package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of the system, with a channel of its own for each request. */
public final class Client {

    /**
     * What a client got.
     *
     * @param status the status; 0 without an answer
     * @param complete whether the answer ended as its head says
     */
    public record Answer(int status, String signature, String body, boolean complete) {}

    private Client() {}

    /** Sends a request and reads its answer, for as long as the time limit allows. */
    public static Answer send(int port, String request, int timeoutMs) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        String signature = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Ports.HOST, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            Http http = new Http(socket.getInputStream());
            Http.Head head = http.head();
            if (head == null) {
                return new Answer(0, "", "", false);
            }
            status = Integer.parseInt(head.first().split(" ")[1]);
            signature = head.field("Upstream-Signature");
            http.body(head, body);
            return new Answer(status, signature, text(body), true);
        } catch (IOException e) {
            return new Answer(status, signature, text(body), false);
        }
    }

    private static String text(ByteArrayOutputStream body) {
        return body.toString(StandardCharsets.ISO_8859_1);
    }

    /** Waits until the node reports that it is ready. */
    public static boolean awaitReady(int port, long timeoutMs) throws InterruptedException {
        long endNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < endNanos) {
            if (send(port, "GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1_000).status() == 200) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }
}
