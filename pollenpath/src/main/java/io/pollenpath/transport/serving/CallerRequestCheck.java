package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.serving.CallerLimits;
import java.util.Map;
import java.util.Optional;

/** Checks whether a caller's request could be decoded and is within the limits. */
final class CallerRequestCheck {

    private static final int FIELD_SEPARATOR_BYTES = 2;

    private CallerRequestCheck() {}

    /**
     * Returns why a request must not be forwarded, as far as its head tells.
     *
     * @param head the decoded head, not null
     * @param limits the limits that are in force, not null
     * @return the problem; empty if there is none
     */
    static Optional<Problem> problemOfHead(HttpRequest head, CallerLimits limits) {
        if (headBytes(head.headers()) > limits.maxHeaderBytes()) {
            return Optional.of(GatewayProblems.headTooLarge(limits.maxHeaderBytes()));
        }
        return problemOfBody(declaredBytes(head), limits);
    }

    /**
     * Returns why a request must not be forwarded with a body of a given length.
     *
     * @param bytes the length of the body so far, in bytes
     * @param limits the limits that are in force, not null
     * @return the problem; empty if there is none
     */
    static Optional<Problem> problemOfBody(long bytes, CallerLimits limits) {
        return bytes > limits.maxBodyBytes()
                ? Optional.of(GatewayProblems.bodyTooLarge(limits.maxBodyBytes()))
                : Optional.empty();
    }

    /**
     * Returns the answer to a request that the codec could not decode.
     *
     * @param failure why it could not, not null
     * @param limits the limits that are in force, not null
     * @return the problem
     */
    static Problem undecoded(Throwable failure, CallerLimits limits) {
        return failure instanceof TooLongHttpHeaderException
                ? GatewayProblems.headTooLarge(limits.maxHeaderBytes())
                : GatewayProblems.malformed(failure);
    }

    /** Returns the length that a head names for its body; 0 if it names none. */
    static long declaredBytes(HttpRequest head) {
        return HttpUtil.isTransferEncodingChunked(head) ? 0 : HttpUtil.getContentLength(head, 0L);
    }

    private static long headBytes(HttpHeaders headers) {
        long bytes = 0;
        for (Map.Entry<String, String> field : headers) {
            bytes += field.getKey().length() + FIELD_SEPARATOR_BYTES + field.getValue().length();
        }
        return bytes;
    }
}
