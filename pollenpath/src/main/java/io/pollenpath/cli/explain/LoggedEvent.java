package io.pollenpath.cli.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One parsed log line.
 *
 * @param time the logged time, which sorts as text
 * @param process the name of the process that wrote the line
 * @param event the name of the event
 * @param fields all fields of the line by name, without quotes
 * @param text the event and the fields after it, as logged
 */
record LoggedEvent(
        String time, String process, String event, Map<String, String> fields, String text) {

    private static final String TIME = "ts";
    private static final String PROCESS = "process";
    private static final String EVENT = "event";

    LoggedEvent {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(event, "event");
        fields = Map.copyOf(fields);
    }

    /**
     * Parses a line. A prefix that a log collector has put before the time is ignored.
     *
     * @param line the line
     * @return the event; empty if the line has no time or no event
     */
    static Optional<LoggedEvent> parse(String line) {
        int start = line.indexOf(TIME + "=");
        int event = line.indexOf(EVENT + "=");
        if (start < 0 || event < start) {
            return Optional.empty();
        }
        Map<String, String> fields = fields(line.substring(start));
        return Optional.of(
                new LoggedEvent(
                        fields.getOrDefault(TIME, ""),
                        fields.getOrDefault(PROCESS, ""),
                        fields.getOrDefault(EVENT, ""),
                        fields,
                        line.substring(event).strip()));
    }

    private static Map<String, String> fields(String line) {
        Map<String, String> fields = new LinkedHashMap<>();
        int position = 0;
        while (position < line.length()) {
            int equals = line.indexOf('=', position);
            if (equals < 0) {
                break;
            }
            String key = line.substring(position, equals).strip();
            int end = endOfValue(line, equals + 1);
            fields.putIfAbsent(key, unquote(line.substring(equals + 1, end)));
            position = end + 1;
        }
        return fields;
    }

    private static int endOfValue(String line, int start) {
        if (start >= line.length() || line.charAt(start) != '"') {
            int space = line.indexOf(' ', start);
            return space < 0 ? line.length() : space;
        }
        int position = start + 1;
        while (position < line.length() && line.charAt(position) != '"') {
            position += line.charAt(position) == '\\' ? 2 : 1;
        }
        return Math.min(line.length(), position + 1);
    }

    private static String unquote(String value) {
        if (value.length() < 2 || value.charAt(0) != '"') {
            return value;
        }
        return value.substring(1, value.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    /** Returns the value of a field, or an empty text if the line doesn't have it. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
