package review.common;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 heads and bodies from sockets. */
public final class Http {

    private Http() {}

    /** The first line and the headers of a message, with header names in lower case. */
    public record Head(String firstLine, Map<String, String> headers) {

        /** Returns the value of a header; empty if it is missing. */
        public String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Returns the path of a request. */
        public String path() {
            return firstLine.split(" ")[1];
        }

        /** Returns the status of an answer. */
        public int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        /** Returns the length of the body; 0 if it is not named. */
        public int length() {
            return Integer.parseInt(headers.getOrDefault("content-length", "0"));
        }
    }

    /** Reads a head. */
    public static Head readHead(InputStream in) throws IOException {
        String firstLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, line.substring(colon + 1).trim());
        }
        return new Head(firstLine, headers);
    }

    /** Reads a body that has a length or comes in chunks. */
    public static byte[] readBody(InputStream in, Head head) throws IOException {
        if (!head.header("transfer-encoding").isEmpty()) {
            return readChunks(in);
        }
        byte[] body = in.readNBytes(head.length());
        if (body.length < head.length()) {
            throw new EOFException("the body ends early");
        }
        return body;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).trim(), 16);
            body.write(in.readNBytes(size));
            readLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
