package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;

/**
 * Tells which heads must not be used although each of their lines is sound: those that don't say
 * where the body ends, or that say it twice (RFC 9112, section 6), those of another protocol, which
 * no request asks for, and those that go on with the head of another answer.
 */
final class AnswerHeadRules {

    private AnswerHeadRules() {}

    /**
     * Returns why a head must not be used.
     *
     * @param head the decoded head with all fields that were sent, not null
     * @return the flaw; empty if there is none
     */
    static Optional<String> flawOf(HttpResponse head) {
        if (SplicedHead.isIn(head)) {
            return Optional.of("the head holds the status line of a second answer");
        }
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return Optional.of("the server speaks another protocol");
        }
        if (!isFramedOnce(head)) {
            return Optional.of("the head doesn't tell by one field how the body ends");
        }
        return Optional.empty();
    }

    /** Returns whether a body comes in chunks or not, and has no length if it does. */
    private static boolean isFramedOnce(HttpResponse head) {
        HttpHeaders headers = head.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || (codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                        && head.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        && !headers.contains(HttpHeaderNames.CONTENT_LENGTH));
    }
}
