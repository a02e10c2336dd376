package io.pollenpath.cli.explain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds one line of a log.
 *
 * @param time when it was written, as logged; such times sort as text
 * @param process who wrote it
 * @param event what happened
 * @param fields the other fields in their order, without quotes
 * @param text what follows the name of the process, as logged
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
     * Reads a line; whatever a collector of logs has put before the time is left out.
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
        int at = 0;
        while (at < line.length()) {
            int equals = line.indexOf('=', at);
            if (equals < 0) {
                break;
            }
            String key = line.substring(at, equals).strip();
            int end = endOfValue(line, equals + 1);
            fields.putIfAbsent(key, unquote(line.substring(equals + 1, end)));
            at = end + 1;
        }
        return fields;
    }

    private static int endOfValue(String line, int start) {
        if (start >= line.length() || line.charAt(start) != '"') {
            int space = line.indexOf(' ', start);
            return space < 0 ? line.length() : space;
        }
        int at = start + 1;
        while (at < line.length() && line.charAt(at) != '"') {
            at += line.charAt(at) == '\\' ? 2 : 1;
        }
        return Math.min(line.length(), at + 1);
    }

    private static String unquote(String value) {
        if (value.length() < 2 || value.charAt(0) != '"') {
            return value;
        }
        return value.substring(1, value.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    /** Returns a field; empty text if the line lacks it. */
    String field(String name) {
        return fields.getOrDefault(name, "");
    }
}
