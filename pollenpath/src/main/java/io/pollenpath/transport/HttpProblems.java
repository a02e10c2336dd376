package io.pollenpath.transport;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.Executed;

/** The problem documents that the HTTP server itself sends, as opposed to its handler. */
final class HttpProblems {

    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_REQUEST_TIMEOUT = 408;
    private static final int STATUS_BODY_TOO_LARGE = 413;
    private static final int STATUS_URI_TOO_LONG = 414;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_HEADERS_TOO_LARGE = 431;
    private static final int STATUS_INTERNAL = 500;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int RETRY_AFTER_MS = 1_000;

    private HttpProblems() {}

    static Problem malformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            return Problem.rejected(
                    STATUS_URI_TOO_LONG, "request_line_too_long", "send a shorter request line");
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return Problem.rejected(
                    STATUS_HEADERS_TOO_LARGE, "headers_too_large", "send fewer or shorter headers");
        }
        int status = cause instanceof FlawedRequestException f ? f.status() : STATUS_BAD_REQUEST;
        return Problem.rejected(status, "malformed_request", "send a valid HTTP/1.1 request");
    }

    static Problem bodyTooLarge(int maxBodyBytes) {
        return Problem.rejected(
                STATUS_BODY_TOO_LARGE,
                "body_too_large",
                "send at most " + maxBodyBytes + " bytes in a body");
    }

    static Problem tooSlow(int requestTimeoutMs) {
        return new Problem(
                STATUS_REQUEST_TIMEOUT,
                "request_too_slow",
                "send the whole request within " + requestTimeoutMs + " ms",
                Executed.NO,
                RETRY_AFTER_MS);
    }

    static Problem incomplete() {
        return Problem.rejected(
                STATUS_BAD_REQUEST,
                "incomplete_request",
                "the connection was half-closed before the request was complete; send it again");
    }

    static Problem tooManyPipelined(int maxPipelined) {
        return new Problem(
                STATUS_TOO_MANY_REQUESTS,
                "too_many_pipelined",
                "pipeline at most " + maxPipelined + " requests behind the one in progress",
                Executed.NO,
                RETRY_AFTER_MS);
    }

    static Problem internal() {
        return new Problem(
                STATUS_INTERNAL,
                "internal_error",
                "an internal error occurred; report it with the time and the request",
                Executed.UNKNOWN,
                0);
    }

    static Problem tooManyConnections() {
        return new Problem(
                STATUS_UNAVAILABLE,
                "too_many_connections",
                "the connection limit is reached; retry later or reuse a connection",
                Executed.NO,
                RETRY_AFTER_MS);
    }
}
