package io.pollenpath.util;

import java.util.Objects;

/**
 * Builds one line of key=value pairs for an event.
 *
 * <pre>
 * LogLine.event("request_done").with("customer", "alpha").with("status", 200).toString()
 *     = "event=request_done customer=alpha status=200"
 * </pre>
 */
public final class LogLine {

    private final StringBuilder text;

    private LogLine(String event) {
        text = new StringBuilder("event=").append(event);
    }

    /**
     * Starts a line.
     *
     * @param event the name of the event, in lower case with underscores, not null
     * @return the new line
     * @throws NullPointerException if {@code event} is null
     */
    public static LogLine event(String event) {
        return new LogLine(Objects.requireNonNull(event, "event"));
    }

    /**
     * Adds a pair; a value with white space, control characters, quotes or an equals sign is
     * quoted.
     *
     * @param key the key, not null
     * @param value the value; null is written as an empty value
     * @return this line
     */
    public LogLine with(String key, Object value) {
        text.append(' ').append(key).append('=');
        appendValue(value == null ? "" : value.toString());
        return this;
    }

    private void appendValue(String value) {
        if (isPlain(value)) {
            text.append(value);
            return;
        }
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(value.charAt(i));
        }
        text.append('"');
    }

    private void appendEscaped(char c) {
        if (c == '"' || c == '\\') {
            text.append('\\').append(c);
        } else if (c < ' ') {
            text.append(' ');
        } else {
            text.append(c);
        }
    }

    private static boolean isPlain(String value) {
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c <= ' ' || c == '"' || c == '=') {
                return false;
            }
        }
        return true;
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
