package review3;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/** An engine that may leave: it goes on serving for a while and then exits. */
public final class LeavingEngine {

    /** Hears of the requests that an engine runs, and of those that its exit ends. */
    interface Listener {

        void onRun(String engine, String requestId);

        void onLost(String engine, String requestId);
    }

    private static final int WORK_MS = 60;

    private final String id;
    private final int port = Ports.free();
    private final Listener listener;
    private final ServerSocket accepting = new ServerSocket();
    private final Set<Socket> open = new HashSet<>();
    private boolean exited;

    LeavingEngine(String id, Store store, Listener listener) throws IOException {
        this.id = id;
        this.listener = listener;
        accepting.bind(new InetSocketAddress(InetAddress.getByName(Ports.HOST), port));
        start(this::accept);
        store.put(
                "servers",
                id,
                "{\"Service\":\"alerts\",\"Address\":\"%s\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Seq\":1,\"born\":%d}"
                        .formatted(Settings.address(port), System.currentTimeMillis()));
    }

    String id() {
        return id;
    }

    synchronized void exit() throws IOException {
        exited = true;
        accepting.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    private synchronized boolean hasExited() {
        return exited;
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = accepting.accept();
                synchronized (this) {
                    open.add(socket);
                }
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The engine has exited.
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
            // The caller has left, or the engine has exited.
        } finally {
            synchronized (this) {
                open.remove(socket);
            }
        }
    }

    private void answer(Http.Head head, OutputStream out) throws IOException {
        if (!head.field("Expect-Instance").equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String requestId = head.field("Request-Id");
        listener.onRun(id, requestId);
        pause(WORK_MS);
        if (hasExited()) {
            listener.onLost(id, requestId);
        }
        String body = "filed " + requestId;
        write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nUpstream-Signature: 3e1b.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(requestId, requestId, body.length(), body));
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
