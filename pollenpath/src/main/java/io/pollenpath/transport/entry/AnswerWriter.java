package io.pollenpath.transport.entry;

import io.pollenpath.protocol.Problem;
import io.pollenpath.transport.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Writes one answer to its caller, as server-sent events or as one whole body. Used on the event
 * loop of the caller's connection.
 */
final class AnswerWriter {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final byte[] DATA_FIELD = "data: ".getBytes(StandardCharsets.US_ASCII);

    private final HttpExchange exchange;
    private final String requestId;
    private final int firstIndex;
    private final Map<String, String> headers;
    private final ByteArrayOutputStream wholeBody = new ByteArrayOutputStream();
    private int status = 200;
    private String contentType = "";
    private boolean events;
    private boolean streaming;
    private int nextIndex;

    AnswerWriter(HttpExchange exchange, String requestId, String traceparent, int nextIndex) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.nextIndex = nextIndex;
        firstIndex = nextIndex;
        headers = new HashMap<>();
        headers.put("pollenpath-request-id", requestId);
        if (!traceparent.isEmpty()) {
            headers.put("traceparent", traceparent);
        }
    }

    int nextIndex() {
        return nextIndex;
    }

    /**
     * Stores the head of the answer. It is written only with the first piece, so that a retry can
     * still replace it.
     */
    void setHead(int newStatus, String newContentType) {
        status = newStatus;
        contentType = newContentType.isEmpty() ? "application/octet-stream" : newContentType;
        events = newContentType.startsWith(EVENT_STREAM);
    }

    /** Writes the next piece; returns false if an answer that is not streamed grows too large. */
    boolean writePiece(String server, byte[] data, int maxWholeBytes) {
        if (events) {
            startStream();
            exchange.write(toEvent(server, nextIndex, data));
        } else if (data.length > maxWholeBytes - wholeBody.size()) {
            return false;
        } else {
            wholeBody.writeBytes(data);
        }
        nextIndex++;
        return true;
    }

    private void startStream() {
        if (!streaming) {
            streaming = true;
            exchange.startStream(status, contentType, headers);
        }
    }

    /** Discards the pieces of a failed attempt before the request is sent to another server. */
    void restart() {
        if (streaming) {
            throw new IllegalStateException("the stream has started; it cannot be retried");
        }
        wholeBody.reset();
        nextIndex = firstIndex;
    }

    private byte[] toEvent(String server, int index, byte[] data) {
        String id = "id: " + new EventId(server, requestId, index) + "\n";
        ByteArrayOutputStream event = new ByteArrayOutputStream(data.length + id.length() + 16);
        event.writeBytes(id.getBytes(StandardCharsets.UTF_8));
        writeData(event, data);
        event.write('\n');
        return event.toByteArray();
    }

    private static void writeData(ByteArrayOutputStream event, byte[] data) {
        event.writeBytes(DATA_FIELD);
        for (byte b : data) {
            event.write(b);
            if (b == '\n') {
                event.writeBytes(DATA_FIELD);
            }
        }
        event.write('\n');
    }

    void finish() {
        if (events) {
            startStream();
            exchange.endStream();
        } else {
            exchange.respond(status, contentType, headers, wholeBody.toByteArray());
        }
    }

    /** Ends the answer with a problem, as the body or as the last event of an open stream. */
    void fail(Problem problem) {
        if (streaming) {
            exchange.write(
                    ("event: error\ndata: "
                                    + new String(problem.toJson(requestId), StandardCharsets.UTF_8)
                                    + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
            exchange.endStream();
            return;
        }
        Map<String, String> all = new HashMap<>(headers);
        if (problem.retryAfterMs() > 0) {
            all.put("retry-after", Integer.toString(problem.retryAfterSeconds()));
        }
        exchange.respond(problem.status(), Problem.MEDIA_TYPE, all, problem.toJson(requestId));
    }

    /** Returns whether a part of the answer was written, so that it can no longer be retried. */
    boolean hasStartedStream() {
        return streaming;
    }
}
