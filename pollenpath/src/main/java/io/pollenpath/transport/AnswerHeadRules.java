package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
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
        if (!FramingRules.isFramedOnce(head)) {
            return Optional.of("the head doesn't tell by one field how the body ends");
        }
        return Optional.empty();
    }
}
