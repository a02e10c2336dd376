package io.pollenpath.bench.prove;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpClientCall;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Receives one answer as a caller does, and can disconnect before the answer ends. */
final class StreamCaller implements HttpClient.Listener {

    private static final int TAIL_CHARS = 300;
    private static final long TIMEOUT_S = 30;
    private static final String ID_FIELD = "id: ";
    private static final String DATA_FIELD = "data: ";

    /**
     * An event of a streamed answer.
     *
     * @param id the id, empty if the event has none
     * @param type the last line that is neither an id nor data, such as {@code event: error}; empty
     *     for a piece of the answer
     * @param data the data
     */
    record Event(String id, String type, byte[] data) {}

    private final int disconnectAfterEvents;
    private final CompletableFuture<Integer> done = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private HttpClientCall call;
    private int status;
    private int events;
    private byte previousByte;
    private boolean disconnected;

    /**
     * Creates a caller.
     *
     * @param disconnectAfterEvents the number of events after which it disconnects; 0 for never
     */
    StreamCaller(int disconnectAfterEvents) {
        this.disconnectAfterEvents = disconnectAfterEvents;
    }

    /** Sends the request and returns this caller. */
    StreamCaller send(HttpClient client, HttpClient.Request request) {
        HttpClientCall started = client.stream(request, this);
        synchronized (this) {
            call = started;
        }
        return this;
    }

    /** Pauses or resumes reading. */
    synchronized void setReading(boolean reading) {
        call.setReading(reading);
    }

    /**
     * Waits until the answer ends.
     *
     * @return the HTTP status, or 0 if the connection was lost or closed by this caller
     * @throws IOException if the answer does not end in time
     */
    int awaitStatus() throws IOException {
        try {
            return done.get(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException e) {
            throw new IOException(
                    "the answer did not end in time; received " + bytes.size() + " bytes", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    synchronized int eventCount() {
        return events;
    }

    synchronized long byteCount() {
        return bytes.size();
    }

    /** Returns the body received so far. */
    synchronized byte[] body() {
        return bytes.toByteArray();
    }

    /** Returns the last characters of the body on one line, for diagnostics. */
    String bodyTail() {
        String text = new String(body(), StandardCharsets.ISO_8859_1);
        return text.substring(Math.max(0, text.length() - TAIL_CHARS)).replace('\n', ' ');
    }

    /** Returns the events that have been received completely. */
    List<Event> events() {
        List<Event> parsed = new ArrayList<>();
        String text = new String(body(), StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\n\n");
        int start = 0;
        while (end >= 0) {
            parsed.add(parse(text.substring(start, end)));
            start = end + 2;
            end = text.indexOf("\n\n", start);
        }
        return parsed;
    }

    private static Event parse(String block) {
        String id = "";
        String type = "";
        List<String> data = new ArrayList<>();
        for (String line : block.split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                id = line.substring(ID_FIELD.length());
            } else if (line.startsWith(DATA_FIELD)) {
                data.add(line.substring(DATA_FIELD.length()));
            } else {
                type = line;
            }
        }
        return new Event(id, type, String.join("\n", data).getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public synchronized void onHead(int newStatus, HttpHeaders headers) {
        status = newStatus;
    }

    @Override
    public synchronized void onData(byte[] piece) {
        if (disconnected) {
            return;
        }
        for (byte b : piece) {
            bytes.write(b);
            events += b == '\n' && previousByte == '\n' ? 1 : 0;
            previousByte = b;
        }
        if (disconnectAfterEvents > 0 && events >= disconnectAfterEvents) {
            disconnected = true;
            call.cancel();
        }
    }

    @Override
    public synchronized void onEnd() {
        // The end can arrive in the same read as the last event that the caller waits for. The
        // caller has disconnected by then, so the end does not count.
        done.complete(disconnected ? 0 : status);
    }

    @Override
    public synchronized void onFailure(Throwable cause, boolean sent) {
        done.complete(0);
    }
}
