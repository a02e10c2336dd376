package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.standin.platform.RequestReader;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * An engine that answers paths with the name of a kind with small pieces without end, at the rate
 * of a link. Other requests get a short answer.
 */
final class SmallPiecesEngine implements AutoCloseable {

    private static final int BACKLOG = 64;

    private static final String STREAM = "/stream-final/";
    private static final String PLAIN = "/once/";
    private static final String BLOCK = "4000\r\n";

    private final SocketServer server;

    /** What comes, as the text of the chunks. */
    enum Kind {
        LINE_FEEDS(STREAM, BLOCK + "\n".repeat(0x4000) + "\r\n"),
        LINE_ENDS(STREAM, BLOCK + "\r\n".repeat(0x2000) + "\r\n"),
        COMMENTS(STREAM, "3fff\r\n" + ":\n\n".repeat(0x1555) + "\r\n"),
        TINY_EVENTS(STREAM, "3ffc\r\n" + "data\n\n".repeat(0xaaa) + "\r\n"),
        LINE_FEED_CHUNKS(STREAM, "1\r\n\n\r\n".repeat(2_900)),
        EVENT_CHUNKS(STREAM, "9\r\ndata: x\n\n\r\n".repeat(1_250)),
        BYTE_CHUNKS_OF_A_STREAM(STREAM, "1\r\na\r\n".repeat(2_900)),
        BYTE_CHUNKS(PLAIN, "1\r\na\r\n".repeat(2_900));

        private final String route;
        private final String piece;

        Kind(String route, String piece) {
            this.route = route;
            this.piece = piece;
        }

        /** Returns the path of a request that is answered so. */
        String path() {
            return route + name();
        }
    }

    SmallPiecesEngine(String id, PlatformStoreStandin store) throws IOException {
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
            String head =
                    "HTTP/1.1 200 OK\r\nUpstream-Signature: proof\r\nRequest-Id: "
                            + request.header("request-id")
                            + "\r\n";
            for (Kind kind : Kind.values()) {
                if (request.path().equals(kind.path())) {
                    answerWithoutEnd(socket.getOutputStream(), head, kind);
                }
            }
            write(socket.getOutputStream(), head + "Content-Length: 4\r\n\r\ndone");
        }
    }

    private static void answerWithoutEnd(OutputStream out, String head, Kind kind)
            throws IOException {
        String type = kind.route.equals(STREAM) ? "text/event-stream" : "text/plain";
        write(out, head + "Content-Type: " + type + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        if (kind.route.equals(STREAM)) {
            write(out, "11\r\nid: 1\ndata: one\n\n\r\n");
        }
        PacedWriter.write(out, kind.piece);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
