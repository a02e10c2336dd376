package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Tells whether a head says once, and in a way that is known, how the body ends (RFC 9112, 6). */
final class FramingRules {

    private FramingRules() {}

    /** Returns whether a body comes in chunks of HTTP/1.1 without a length, or without a coding. */
    static boolean isFramedOnce(HttpMessage head) {
        return codings(head).isEmpty()
                || (hasKnownCoding(head)
                        && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH));
    }

    /** Returns whether a body comes in chunks and in no other coding, or in none at all. */
    static boolean hasKnownCoding(HttpMessage head) {
        List<String> codings = codings(head);
        return codings.isEmpty()
                || (codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)));
    }

    private static List<String> codings(HttpMessage head) {
        return head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    }
}
