package io.pollenpath.standin.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin.ReceivedRequest;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.locks.LockSupport;

/** The streams of events with which {@link PlatformEngineStandin} answers. */
final class EventStreams {

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final long PAUSE_MS = 2_500;
    private static final int STALLED_BYTES = 100;
    private static final long STALLED_BYTE_NANOS = 100_000_000;

    private EventStreams() {}

    /**
     * Writes a byte of an event that is never completed now and then.
     *
     * @throws IOException if the caller has closed the connection
     */
    static void writeStalledEvent(OutputStream out) throws IOException {
        for (int i = 0; i < STALLED_BYTES; i++) {
            LockSupport.parkNanos(STALLED_BYTE_NANOS);
            out.write('x');
            out.flush();
        }
    }

    /** Writes the chunks of a stream and pauses in its middle. */
    static void writeWithPause(OutputStream out, ReceivedRequest request, int last)
            throws IOException {
        String first = events(request, last / 2);
        String rest = events(request, last).substring(first.length());
        out.write(chunk(first).getBytes(StandardCharsets.UTF_8));
        out.flush();
        Pause.forMs(PAUSE_MS);
        out.write((chunk(rest) + LAST_CHUNK).getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Returns whether a request is answered by a stream. */
    static boolean isStream(ReceivedRequest request) {
        return request.path().startsWith("/stream");
    }

    /** Returns the events after the last one that the caller received, up to a number. */
    static String events(ReceivedRequest request, int last) {
        String lastEventId = request.header("last-event-id");
        StringBuilder events = new StringBuilder();
        for (int i = lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
                i <= last;
                i++) {
            events.append("id: ").append(i).append("\ndata: piece-").append(i).append("\n\n");
        }
        return events.toString();
    }

    /** Returns a chunk of a body. */
    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
