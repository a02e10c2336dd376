package io.pollenpath.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/**
 * Tells which requests must not be read further although each line of their heads is sound: those
 * of a version that is not spoken here (RFC 9110, 15.6.6), those whose body ends in a way that is
 * not known or not named once (RFC 9112, 6.1 and 6.3), and those with several hosts (RFC 9112,
 * 3.2).
 */
final class RequestHeadRules {

    private static final int BAD_REQUEST = 400;
    private static final int NOT_IMPLEMENTED = 501;
    private static final int VERSION_NOT_SUPPORTED = 505;

    private RequestHeadRules() {}

    /**
     * Returns why a request must not be read further.
     *
     * @param head the decoded head with all fields that were sent, not null
     * @return the flaw; empty if there is none
     */
    static Optional<FlawedRequestException> flawOf(HttpRequest head) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return flaw(VERSION_NOT_SUPPORTED, "the version is not 1.0 or 1.1; send one of these");
        }
        if (!FramingRules.hasKnownCoding(head)) {
            return flaw(
                    NOT_IMPLEMENTED, "the transfer coding is not known; send chunks or a length");
        }
        if (!FramingRules.isFramedOnce(head)) {
            return flaw(BAD_REQUEST, "the head doesn't tell by one field how the body ends");
        }
        if (head.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return flaw(BAD_REQUEST, "there are several Host fields; send one");
        }
        return Optional.empty();
    }

    private static Optional<FlawedRequestException> flaw(int status, String text) {
        return Optional.of(new FlawedRequestException(status, text));
    }
}
