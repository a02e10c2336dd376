package io.pollenpath.platform;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.transport.HttpAddress;
import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A caller on one connection, which writes the bytes of its requests itself. */
final class RawCaller implements AutoCloseable {

    private static final int TIMEOUT_MS = 15_000;

    private final Socket socket;
    private final InputStream in;

    /**
     * An answer.
     *
     * @param status the HTTP status
     * @param headers the headers, with names in lower case
     * @param body the body; empty if it has no length
     */
    record Answer(int status, Map<String, String> headers, String body) {}

    RawCaller(HttpAddress entry) throws IOException {
        socket = new Socket(entry.host(), entry.port());
        socket.setSoTimeout(TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the head of a request, with the given fields at its end. */
    static String head(String requestId, String path, String... fields) {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\n");
        head.append("Host: ").append(PlatformFixtures.HOST).append("\r\n");
        head.append("Request-Id: ").append(requestId).append("\r\n");
        head.append("Authorization: Bearer ").append(PlatformFixtures.API_KEY).append("\r\n");
        for (String field : fields) {
            head.append(field).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    /** Returns a request whose head names the length of its body. */
    static String request(String requestId, String path, String body) {
        return head(requestId, path, "Content-Length: " + body.length()) + body;
    }

    /** Returns a request whose body comes in chunks of a size. */
    static String chunkedRequest(String requestId, String path, String body, int chunkBytes) {
        StringBuilder request = new StringBuilder(head(requestId, path, chunkedField()));
        for (int start = 0; start < body.length(); start += chunkBytes) {
            int end = Math.min(body.length(), start + chunkBytes);
            request.append(Integer.toHexString(end - start)).append("\r\n");
            request.append(body, start, end).append("\r\n");
        }
        return request.append("0\r\n\r\n").toString();
    }

    private static String chunkedField() {
        return "Transfer-Encoding: chunked";
    }

    void send(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Reads the next answer.
     *
     * @throws IOException if the connection ends, or nothing comes for fifteen seconds
     */
    Answer read() throws IOException {
        Answer head = readHead();
        int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        return new Answer(head.status(), head.headers(), body);
    }

    /**
     * Reads the next answer, with a length or in chunks, up to the end that it names.
     *
     * @throws IOException if the connection ends before the answer does
     */
    Answer readWhole() throws IOException {
        Answer head = readHead();
        if (!head.headers().containsKey("transfer-encoding")) {
            String length = head.headers().getOrDefault("content-length", "0");
            return new Answer(head.status(), head.headers(), readExactly(Integer.parseInt(length)));
        }
        StringBuilder body = new StringBuilder();
        int size = Integer.parseInt(readLine(), 16);
        while (size > 0) {
            body.append(readExactly(size));
            readLine();
            size = Integer.parseInt(readLine(), 16);
        }
        readLine();
        return new Answer(head.status(), head.headers(), body.toString());
    }

    private String readExactly(int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the entry closed the connection within an answer");
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of the next answer, which is all of it if the request was a HEAD. */
    Answer readHead() throws IOException {
        int status = Integer.parseInt(readLine().split(" ", 3)[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, line.substring(colon + 1).trim());
        }
        return new Answer(status, headers, "");
    }

    /** Returns all bytes until the entry closes the connection. */
    String readAll() throws IOException {
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Returns whether the entry closes the connection without another byte. */
    boolean isClosedByEntry() throws IOException {
        return in.read() < 0;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the entry closed the connection");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
