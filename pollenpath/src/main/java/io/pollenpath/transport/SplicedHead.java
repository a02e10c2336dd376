package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Finds answers whose head was cut and goes on with the head of another one. A server that stops
 * within a head and then answers once more on the same connection writes a status line where a
 * value goes on; the fields behind it, and the body, belong to the second answer.
 */
public final class SplicedHead {

    private static final String VERSION = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}( |$)");

    private SplicedHead() {}

    /**
     * Returns whether the head of an answer holds the status line of another one.
     *
     * @param head the decoded head, not null
     * @return true if the answer must not be used
     */
    public static boolean isIn(HttpResponse head) {
        if (holdsStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : head.headers()) {
            if (holdsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
    }
}
