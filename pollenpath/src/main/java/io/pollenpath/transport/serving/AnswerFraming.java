package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** How an answer of a server marks its end. */
enum AnswerFraming {
    /** There is no answer yet. */
    NONE,
    /** Its length is named in its head. */
    LENGTH,
    /** It comes in chunks; the last one is empty. */
    CHUNKS,
    /** It ends with its connection, so the end of the server looks like the end of the answer. */
    CLOSE;

    /** Returns whether a part that has come is shown to be whole before the answer ends. */
    boolean provesParts() {
        return this == CHUNKS;
    }

    static AnswerFraming of(HttpHeaders headers) {
        if (headers.containsValue(
                HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
            return CHUNKS;
        }
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CLOSE;
    }
}
