package io.pollenpath.standin.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin.ReceivedRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.locks.LockSupport;

/** The streams of events with which {@link PlatformEngineStandin} answers. */
final class EventStreams {

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
