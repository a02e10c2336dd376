package io.pollenpath.standin.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 requests with a content length from a stream. */
public final class RequestReader {

    private RequestReader() {}

    /**
     * Reads one request.
     *
     * @param in the bytes that a caller sends, not null
     * @return the request
     * @throws IOException if the caller closes the connection before the end of the request
     */
    public static PlatformEngineStandin.ReceivedRequest read(InputStream in) throws IOException {
        String[] requestLine = readLine(in).split(" ", 3);
        Map<String, String> headers = new TreeMap<>();
        String header = readLine(in);
        while (!header.isEmpty()) {
            int colon = header.indexOf(':');
            String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, header.substring(colon + 1).trim());
            header = readLine(in);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        return new PlatformEngineStandin.ReceivedRequest(
                requestLine[0], requestLine[1], headers, body);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new IOException("the caller closed the connection");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }
}
