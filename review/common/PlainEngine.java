package review.common;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An engine of a plain service that answers each request at once. */
public final class PlainEngine implements AutoCloseable {

    private final ServerSocket listener;

    /** Starts listening on a free port of the loopback address. */
    public PlainEngine() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        startThread(this::acceptAll);
    }

    /** Returns the port. */
    public int port() {
        return listener.getLocalPort();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "plain-engine");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = listener.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed, so no more connections arrive.
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                Http.readBody(in, head);
                String answer =
                        "HTTP/1.1 200 OK\r\nRequest-Id: " + head.header("request-id")
                                + "\r\nUpstream-Signature: proof\r\nKeep-Alive: timeout=5\r\n"
                                + "Content-Length: 4\r\n\r\ndone";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The entry has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
