package io.pollenpath.transport.serving;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events into complete events, and buffers the bytes of an
 * incomplete one.
 */
final class EventSplitter {

    /** An event is some tokens of text. Buffers of this size for many streams fit into the heap. */
    static final int MAX_EVENT_BYTES = 262_144;

    private static final int INITIAL_BYTES = 512;

    /** A buffer of this size is used for the next events too; a larger one is given back. */
    private static final int KEPT_BYTES = 16_384;

    private static final String ID_FIELD = "id:";
    private static final byte COMMENT = ':';
    private static final Pattern NAMED_FIELD = Pattern.compile("[A-Za-z][A-Za-z0-9_-]*:");

    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;
    private int scanned;
    private int lineStart;

    /**
     * A complete event.
     *
     * @param bytes the bytes of the event, including the empty line at its end
     * @param id the numeric event ID; empty if there is none or it is no number
     */
    record Event(byte[] bytes, OptionalLong id) {

        /** Returns whether there is a field; empty lines and comments say nothing. */
        boolean hasFields() {
            boolean atLineStart = true;
            for (byte next : bytes) {
                boolean endsLine = next == '\n' || next == '\r';
                if (atLineStart && !endsLine && next != COMMENT) {
                    return true;
                }
                atLineStart = endsLine;
            }
            return false;
        }

        /**
         * Returns whether this event comes no later than another one; false if an ID is missing.
         */
        boolean isUpTo(OptionalLong otherId) {
            return id.isPresent() && otherId.isPresent() && id.getAsLong() <= otherId.getAsLong();
        }

        /**
         * Returns whether each line from the first one with a version on begins with the name of a
         * field; an empty name is a comment.
         */
        boolean hasOnlyFieldsFromHead(Predicate<String> isField) {
            return new String(bytes, StandardCharsets.ISO_8859_1)
                    .lines()
                    .dropWhile(line -> !EmbeddedHead.holdsVersion(line))
                    .map(Event::fieldName)
                    .allMatch(name -> name.isEmpty() || isField.test(name));
        }

        /**
         * Returns whether each line is a field or a comment. Names that are not known may stand in
         * a stream, but only before a colon: a word without one is text of something else.
         */
        boolean hasOnlyFields(Predicate<String> isField) {
            return new String(bytes, StandardCharsets.ISO_8859_1)
                    .lines()
                    .allMatch(
                            line ->
                                    line.isEmpty()
                                            || line.charAt(0) == COMMENT
                                            || isField.test(line)
                                            || NAMED_FIELD.matcher(line).lookingAt());
        }

        private static String fieldName(String line) {
            int colon = line.indexOf(':');
            return colon < 0 ? line : line.substring(0, colon);
        }
    }

    /**
     * Appends bytes and returns the events that they complete. Each byte is looked at once, however
     * the bytes are cut into pieces. Empty lines that follow an event belong to it, if they come
     * with it.
     *
     * @param bytes the next bytes of the stream, not null
     * @return the events; after an event that is {@linkplain #isTooLong too long} nothing is added
     */
    List<Event> add(byte[] bytes) {
        if (isTooLong()) {
            return List.of();
        }
        append(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        int end = 0;
        for (int i = scanned; i < length; i++) {
            if (pending[i] != '\n') {
                continue;
            }
            boolean emptyLine = isEmptyLine(lineStart, i);
            if (!emptyLine && end > start) {
                events.add(eventAt(start, end));
                start = end;
            }
            if (emptyLine) {
                end = i + 1;
            }
            lineStart = i + 1;
        }
        if (end > start) {
            events.add(eventAt(start, end));
        }
        discard(end);
        scanned = length;
        return events;
    }

    private Event eventAt(int start, int end) {
        byte[] event = Arrays.copyOfRange(pending, start, end);
        return new Event(event, idOf(event));
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return length > 0;
    }

    /** Returns the bytes that are kept for the incomplete event. */
    long bufferedBytes() {
        return pending.length;
    }

    /** Returns whether the incomplete event is longer than any event may be. */
    boolean isTooLong() {
        return length > MAX_EVENT_BYTES;
    }

    private void append(byte[] bytes) {
        if (length + bytes.length > pending.length) {
            int capacity = Math.max(pending.length * 2, length + bytes.length);
            pending = Arrays.copyOf(pending, capacity);
        }
        System.arraycopy(bytes, 0, pending, length, bytes.length);
        length += bytes.length;
    }

    private boolean isEmptyLine(int start, int end) {
        boolean onlyCarriageReturn = end - start == 1 && pending[start] == '\r';
        return end == start || onlyCarriageReturn;
    }

    private static OptionalLong idOf(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        for (String line : text.lines().toList()) {
            if (!line.startsWith(ID_FIELD)) {
                continue;
            }
            try {
                return OptionalLong.of(Long.parseLong(line.substring(ID_FIELD.length()).trim()));
            } catch (NumberFormatException e) {
                return OptionalLong.empty();
            }
        }
        return OptionalLong.empty();
    }

    private void discard(int count) {
        if (count == 0) {
            return;
        }
        System.arraycopy(pending, count, pending, 0, length - count);
        length -= count;
        lineStart -= count;
        if (length == 0 && pending.length > KEPT_BYTES) {
            pending = new byte[INITIAL_BYTES];
        }
    }
}
