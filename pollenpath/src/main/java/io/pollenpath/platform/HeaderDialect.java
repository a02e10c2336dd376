package io.pollenpath.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.transport.serving.CallerHeaders;
import io.pollenpath.transport.serving.ForwardHeaders;
import io.pollenpath.transport.serving.WireDialect;
import java.util.Optional;
import java.util.OptionalLong;

/** Translates the headers and statuses of the platform's callers and engines. */
final class HeaderDialect implements WireDialect {

    private static final String REQUEST_ID = "Request-Id";

    /** How long the sender of a request will wait for its answer, in milliseconds. */
    private static final String DEADLINE = "Deadline-Ms";

    private static final String LAST_EVENT = "Last-Event-Id";

    /** The identity of the engine that shall run the request; any other one refuses it. */
    private static final String EXPECTED_SERVER = "Expect-Instance";

    /** The name of the client account that holds the caller's key. */
    private static final String ACCOUNT = "Tenant-Id";

    /** Proof of an engine that the answer is its own. */
    private static final String SIGNATURE = "Upstream-Signature";

    /** Present if the engine did not run the request. */
    private static final String NOT_RUN = "Not-Executed";

    private static final String BEARER = "Bearer ";
    private static final int MISDIRECTED = 421;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    @Override
    public CallerHeaders readCallerHeaders(HttpHeaders headers) {
        return new CallerHeaders(
                headers.get(REQUEST_ID, ""),
                key(headers),
                number(headers, DEADLINE),
                number(headers, LAST_EVENT));
    }

    private static Optional<String> key(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        return value.startsWith(BEARER)
                ? Optional.of(value.substring(BEARER.length()).trim())
                : Optional.empty();
    }

    private static OptionalLong number(HttpHeaders headers, String name) {
        String value = headers.get(name);
        if (value == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(value.trim()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    @Override
    public void setForwardHeaders(HttpHeaders headers, ForwardHeaders facts) {
        headers.remove(HttpHeaderNames.AUTHORIZATION);
        headers.remove(ACCOUNT);
        facts.account().ifPresent(account -> headers.set(ACCOUNT, account.name()));
        headers.set(EXPECTED_SERVER, facts.server().id());
        headers.set(DEADLINE, Long.toString(facts.timeLeftMs()));
        facts.lastEventId().ifPresent(id -> headers.set(LAST_EVENT, Long.toString(id)));
    }

    @Override
    public ReplyKind classify(int status, HttpHeaders headers) {
        if (status == MISDIRECTED) {
            return ReplyKind.OTHER_SERVER;
        }
        if (headers.contains(NOT_RUN)) {
            return ReplyKind.NOT_RUN;
        }
        boolean success = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
        if (success && !headers.contains(SIGNATURE)) {
            return ReplyKind.UNPROVEN;
        }
        // Callers take these statuses as a promise that the request never runs.
        boolean promise =
                status == TOO_MANY_REQUESTS || status == UNAVAILABLE || status == REQUEST_TIMEOUT;
        return promise ? ReplyKind.UNPROVEN : ReplyKind.ANSWER;
    }

    @Override
    public boolean belongsTo(HttpHeaders headers, String requestId) {
        String echoed = headers.get(REQUEST_ID);
        return echoed == null || echoed.equals(requestId);
    }
}
