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
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine that answers some paths with a long body which it does not end: after most of it, it
 * sends a byte now and then. Other requests get a short answer.
 */
final class HoldingEngine implements AutoCloseable {

    private static final int BACKLOG = 64;
    private static final int PIECE_BYTES = 50_000;
    private static final long BYTE_PERIOD_MS = 100;

    private final SocketServer server;
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    HoldingEngine(String id, PlatformStoreStandin store) throws IOException {
        server =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
        store.put(
                StoreKinds.SERVERS,
                id,
                PlatformFixtures.serverEntry(EntryFleet.SERVICE, server.port()));
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            PlatformEngineStandin.ReceivedRequest request = RequestReader.read(in);
            String id = request.header("request-id");
            runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            answer(socket.getOutputStream(), request);
        }
    }

    private static void answer(OutputStream out, PlatformEngineStandin.ReceivedRequest request)
            throws IOException {
        String head =
                "HTTP/1.1 200 OK\r\nUpstream-Signature: proof\r\nKeep-Alive: timeout=30\r\n"
                        + "Request-Id: "
                        + request.header("request-id")
                        + "\r\n";
        String[] hold = request.path().split("-", 3);
        if (hold.length < 3) {
            write(out, head + "Content-Length: 4\r\n\r\ndone");
        } else if (hold[1].equals("chunks")) {
            write(out, head + "Transfer-Encoding: chunked\r\n\r\n");
            String piece = Integer.toHexString(PIECE_BYTES) + "\r\n" + "a".repeat(PIECE_BYTES);
            hold(out, piece + "\r\n", "1\r\na\r\n", Integer.parseInt(hold[2]));
        } else {
            write(out, head + "\r\n");
            hold(out, "a".repeat(PIECE_BYTES), "a", Integer.parseInt(hold[2]));
        }
    }

    /** Returns the path of a request whose answer has that many bytes and no end. */
    static String path(boolean chunked, int bytes) {
        return "/once/hold-" + (chunked ? "chunks" : "plain") + "-" + bytes;
    }

    private static void hold(OutputStream out, String piece, String last, int bytes)
            throws IOException {
        for (int sent = 0; sent < bytes; sent += PIECE_BYTES) {
            write(out, piece);
        }
        while (true) {
            Pause.forMs(BYTE_PERIOD_MS);
            write(out, last);
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns how often a request ran on this engine. */
    int runs(String requestId) {
        AtomicInteger count = runs.get(requestId);
        return count == null ? 0 : count.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
