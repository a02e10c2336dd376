package io.pollenpath.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client with one kept connection to an entry; it sends one request after the other. */
public final class Caller implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int READ_MARGIN_MS = 500;

    private final Socket socket = new Socket();
    private final InputStream in;

    /**
     * An answer.
     *
     * @param status the status
     * @param headers the headers, with names in lower case
     * @param body the whole body
     */
    public record Answer(int status, Map<String, String> headers, String body) {

        /** Returns whether the entry closes the connection after this answer. */
        public boolean closes() {
            return headers.getOrDefault("connection", "").equalsIgnoreCase("close");
        }
    }

    /** Connects to an entry on the loopback address. */
    public Caller(int port) throws IOException {
        socket.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a POST request with a small body and reads its answer. */
    public Answer post(String requestId, String path, int deadlineMs) throws IOException {
        String body = "{}";
        String request =
                "POST " + path + " HTTP/1.1\r\nHost: " + Manifests.HOST
                        + "\r\nRequest-Id: " + requestId
                        + "\r\nDeadline-Ms: " + deadlineMs
                        + "\r\nAuthorization: Bearer " + Manifests.API_KEY
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.setSoTimeout(deadlineMs + READ_MARGIN_MS);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return read();
    }

    private Answer read() throws IOException {
        int status = Integer.parseInt(readLine().split(" ")[1]);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the body is cut short");
        }
        return new Answer(status, headers, new String(body, StandardCharsets.UTF_8));
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
