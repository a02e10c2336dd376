package io.pollenpath.transport;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Incremental parser of server-sent events that extracts the data of each event. */
public final class SseParser {

    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);

    private final Consumer<byte[]> onData;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private final int maxEventBytes;
    private boolean hasData;

    /**
     * Creates a parser at the start of a stream.
     *
     * @param onData receives the data of each event, not null
     * @param maxEventBytes the maximum size of an event, in bytes
     */
    public SseParser(Consumer<byte[]> onData, int maxEventBytes) {
        this.onData = onData;
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Parses the next bytes of the stream, which may start and end anywhere in an event.
     *
     * @param piece the bytes, not null
     * @throws IllegalStateException if an event exceeds the maximum size; the parser must not be
     *     used afterwards
     */
    public void feed(byte[] piece) {
        for (byte b : piece) {
            if (b == '\n') {
                endLine();
            } else if (b != '\r') {
                line.write(b);
                checkEventSize();
            }
        }
    }

    private void checkEventSize() {
        if (line.size() + data.size() > maxEventBytes) {
            throw new IllegalStateException(
                    "an event exceeds " + maxEventBytes + " bytes; raise --max-event-bytes");
        }
    }

    private void endLine() {
        byte[] bytes = line.toByteArray();
        line.reset();
        if (bytes.length == 0) {
            endEvent();
        } else if (startsWithData(bytes)) {
            appendData(bytes);
        }
    }

    private void endEvent() {
        if (hasData) {
            byte[] bytes = data.toByteArray();
            data.reset();
            hasData = false;
            onData.accept(bytes);
        }
    }

    private void appendData(byte[] bytes) {
        int start = DATA_FIELD.length;
        if (start < bytes.length && bytes[start] == ' ') {
            start++;
        }
        if (hasData) {
            data.write('\n');
        }
        data.write(bytes, start, bytes.length - start);
        hasData = true;
    }

    private static boolean startsWithData(byte[] bytes) {
        if (bytes.length < DATA_FIELD.length) {
            return false;
        }
        for (int i = 0; i < DATA_FIELD.length; i++) {
            if (bytes[i] != DATA_FIELD[i]) {
                return false;
            }
        }
        return true;
    }
}
