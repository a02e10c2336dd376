package io.pollenpath.transport.entry;

/**
 * The id of one event of a streamed answer: the server that keeps it, the request and the index.
 * Its text form is {@code server.requestId.index}.
 *
 * @param server the backend server whose side process keeps the answer, without a dot, not null
 * @param requestId the request, not null
 * @param index the index of the event, from 0
 */
record EventId(String server, String requestId, int index) {

    private static final char SEPARATOR = '.';
    private static final int NO_INDEX = -1;

    @Override
    public String toString() {
        return server + SEPARATOR + requestId + SEPARATOR + index;
    }

    /**
     * Parses an id.
     *
     * @param text the value of {@code Last-Event-ID}, not null
     * @return the id, or null if the text is malformed
     */
    static EventId parse(String text) {
        int first = text.indexOf(SEPARATOR);
        int last = text.lastIndexOf(SEPARATOR);
        if (first < 1 || last <= first + 1) {
            return null;
        }
        int index = parseIndex(text.substring(last + 1));
        if (index == NO_INDEX) {
            return null;
        }
        return new EventId(text.substring(0, first), text.substring(first + 1, last), index);
    }

    private static int parseIndex(String text) {
        try {
            int index = Integer.parseInt(text);
            return index < 0 || index == Integer.MAX_VALUE ? NO_INDEX : index;
        } catch (NumberFormatException e) {
            return NO_INDEX;
        }
    }
}
