package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;

/**
 * Finds answers whose head was cut and goes on with the head of another one. A server that stops
 * within a head and then answers once more on the same connection writes a status line where a
 * value goes on; the fields behind it, and the body, belong to the second answer.
 */
final class SplicedHead {

    private SplicedHead() {}

    /**
     * Returns whether the head of an answer holds the status line of another one.
     *
     * @param head the decoded head, not null
     * @return true if the answer must not be used
     */
    static boolean isIn(HttpResponse head) {
        if (StatusLine.isIn(head.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> field : head.headers()) {
            if (StatusLine.isIn(field.getValue())) {
                return true;
            }
        }
        return false;
    }
}
