package io.pollenpath.standin.platform;

import io.pollenpath.standin.platform.PlatformEngineStandin.ReceivedRequest;

/** The streams of events with which {@link PlatformEngineStandin} answers. */
final class EventStreams {

    private EventStreams() {}

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
