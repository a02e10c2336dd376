package io.pollenpath.transport.serving;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.regex.Pattern;

/**
 * Finds the head of an HTTP answer within the bytes of a body. A server that answers twice writes
 * its second answer where the body of the first one goes on, if only the end of the connection ends
 * that body, or if it has stopped within a body or chunk whose length it has named. The work grows
 * with the length of the body, whatever its bytes are.
 */
final class EmbeddedHead {

    private static final String VERSION = "HTTP/1.";
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.\\d \\d{3}( |$)");

    private boolean open;
    private boolean hasFields;

    private EmbeddedHead() {}

    /**
     * Returns whether a body holds a status line and then, among the fields that follow it, one
     * that names a request. The body may end before the head does.
     *
     * @param body the body, not null
     * @param requestId the ID of the request, not null
     * @return false also if the ID is empty
     */
    static boolean namesRequest(byte[] body, String requestId) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        if (requestId.isEmpty() || !text.contains(VERSION) || !text.contains(requestId)) {
            return false;
        }
        EmbeddedHead head = new EmbeddedHead();
        Iterator<String> lines = text.lines().iterator();
        while (lines.hasNext()) {
            String line = lines.next();
            head.isEndedBy(line);
            if (head.hasFields && line.substring(line.indexOf(':') + 1).trim().equals(requestId)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a status line, fields and an empty line follow each other in a body. */
    static boolean isIn(byte[] body) {
        EmbeddedHead head = new EmbeddedHead();
        Iterator<String> lines = new String(body, StandardCharsets.ISO_8859_1).lines().iterator();
        while (lines.hasNext()) {
            if (head.isEndedBy(lines.next())) {
                return true;
            }
        }
        return false;
    }

    /** Reads the next line; returns whether it ends a head. */
    private boolean isEndedBy(String line) {
        if (line.isEmpty()) {
            boolean ended = open && hasFields;
            open = false;
            hasFields = false;
            return ended;
        }
        if (STATUS.matcher(line).find()) {
            open = true;
            hasFields = false;
            return false;
        }
        open = open && line.indexOf(':') > 0;
        hasFields = open;
        return false;
    }
}
