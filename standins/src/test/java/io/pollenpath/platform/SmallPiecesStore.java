package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.RequestReader;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/**
 * Relays calls to a store, and answers watches with chunks of one byte without end if it is told.
 */
final class SmallPiecesStore implements AutoCloseable {

    private static final int BACKLOG = 64;
    private static final String ERA = "Store-Era";
    private static final String CHUNK = "1\r\n \r\n";

    private final HttpClient http = HttpClient.newHttpClient();
    private final String address;
    private final SocketServer server;
    private volatile boolean inPieces;

    /**
     * Starts to relay.
     *
     * @param storePort the port of the store on the loopback address
     */
    SmallPiecesStore(int storePort) throws IOException {
        address = "http://127.0.0.1:" + storePort;
        server =
                new SocketServer(
                        new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                        this::serve);
    }

    int port() {
        return server.port();
    }

    /** Answers all watches in pieces from now on. */
    void answerInPieces() {
        inPieces = true;
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (true) {
            PlatformEngineStandin.ReceivedRequest request = RequestReader.read(in);
            if (inPieces && request.path().contains("Watch=")) {
                write(
                        socket.getOutputStream(),
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                PacedWriter.write(socket.getOutputStream(), CHUNK);
                return;
            }
            relay(request, socket.getOutputStream());
        }
    }

    private void relay(PlatformEngineStandin.ReceivedRequest request, OutputStream out)
            throws IOException {
        HttpRequest call =
                HttpRequest.newBuilder(URI.create(address + request.path()))
                        .method(
                                request.method(),
                                HttpRequest.BodyPublishers.ofString(request.body()))
                        .build();
        try {
            HttpResponse<byte[]> answer = http.send(call, HttpResponse.BodyHandlers.ofByteArray());
            String era = answer.headers().firstValue(ERA).orElse("0");
            write(
                    out,
                    "HTTP/1.1 "
                            + answer.statusCode()
                            + " Status\r\n"
                            + ERA
                            + ": "
                            + era
                            + "\r\nContent-Length: "
                            + answer.body().length
                            + "\r\n\r\n");
            out.write(answer.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
