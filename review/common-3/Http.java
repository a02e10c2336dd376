package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a connection, for the stand-ins. */
public final class Http {

    /** The first line and the fields of a message; the last one of a name counts. */
    public record Head(String first, Map<String, String> fields) {

        public String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    private final InputStream in;

    public Http(InputStream in) {
        this.in = new BufferedInputStream(in);
    }

    /** Reads a head; null if the connection ends before one. */
    public Head head() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return new Head(first, fields);
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** Reads a body of a length or in chunks, into a buffer that also has what came before a cut. */
    public void body(Head head, ByteArrayOutputStream body) throws IOException {
        if (head.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            for (int size = chunkSize(); size > 0; size = chunkSize()) {
                read(size, body);
                line();
            }
            line();
        } else if (!head.field("Content-Length").isEmpty()) {
            read(Integer.parseInt(head.field("Content-Length")), body);
        }
    }

    private int chunkSize() throws IOException {
        String line = line();
        if (line == null) {
            throw new EOFException("the connection ended within a body");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private void read(int count, ByteArrayOutputStream body) throws IOException {
        for (int left = count; left > 0; left--) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection ended within a body");
            }
            body.write(next);
        }
    }
}
