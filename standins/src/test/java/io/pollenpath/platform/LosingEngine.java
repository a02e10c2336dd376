package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine that begins to work on each request as its head arrives, and loses the answer to a
 * request with a long body: it ends its side of the connection and reads on slowly.
 */
final class LosingEngine implements AutoCloseable {

    private static final int BACKLOG = 64;
    private static final int WINDOW_BYTES = 16_384;
    private static final int LONG_BODY_BYTES = 100_000;

    private final SocketServer server;
    private final boolean losing;
    private final Map<String, AtomicInteger> runs;

    /**
     * Starts an engine.
     *
     * @param losing whether it loses answers, or else gives all
     * @param runs counts the runs by the ID of the request, for all engines together
     */
    LosingEngine(
            String id,
            String service,
            boolean losing,
            PlatformStoreStandin store,
            ConcurrentHashMap<String, AtomicInteger> runs)
            throws IOException {
        this.losing = losing;
        this.runs = runs;
        ServerSocket listener = new ServerSocket();
        listener.setReceiveBufferSize(WINDOW_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server = new SocketServer(listener, this::serve);
        store.put(StoreKinds.SERVERS, id, PlatformFixtures.serverEntry(service, server.port()));
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Map<String, String> head = readHead(in);
        while (!head.isEmpty()) {
            String id = head.get("request-id");
            runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
            if (losing && length > LONG_BODY_BYTES) {
                loseAnswer(socket, in);
                return;
            }
            in.readNBytes(length);
            String answer =
                    "HTTP/1.1 200 OK\r\nRequest-Id: "
                            + id
                            + "\r\nUpstream-Signature: proof\r\nContent-Length: 4\r\n\r\ndone";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            head = readHead(in);
        }
    }

    private static void loseAnswer(Socket socket, InputStream in) throws IOException {
        socket.shutdownOutput();
        while (in.read(new byte[WINDOW_BYTES]) > 0) {
            Pause.forMs(1);
        }
    }

    /** Returns the fields of a head by their names in lower case; empty at the end. */
    private static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> fields = new HashMap<>();
        String line = readLine(in);
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
                fields.put(name, line.substring(colon + 1).trim());
            }
            line = readLine(in);
        }
        return fields;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            line.append(next == '\r' ? "" : Character.toString(next));
            next = in.read();
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
