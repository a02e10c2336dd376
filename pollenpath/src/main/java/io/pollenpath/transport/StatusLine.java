package io.pollenpath.transport;

import java.util.regex.Pattern;

/** How the first line of an HTTP/1 answer looks, by which one is found among other bytes. */
public final class StatusLine {

    /** The begin of each status line; the minor version follows. */
    public static final String VERSION = "HTTP/1.";

    /** A status line up to the blank behind its status, or to the end of the line. */
    public static final Pattern PATTERN = Pattern.compile("HTTP/1\\.\\d \\d{3}( |$)");

    private StatusLine() {}

    /**
     * Returns whether a status line begins in a line.
     *
     * @param line the line, not null
     * @return true if its version and its status are there
     */
    public static boolean isIn(String line) {
        return line.contains(VERSION) && PATTERN.matcher(line).find();
    }
}
