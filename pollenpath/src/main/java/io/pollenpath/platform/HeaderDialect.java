package io.pollenpath.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.transport.serving.CallerHeaders;
import io.pollenpath.transport.serving.ForwardHeaders;
import io.pollenpath.transport.serving.WireDialect;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/** Translates the headers and HTTP statuses that the platform's callers and engines use. */
final class HeaderDialect implements WireDialect {

    private static final String REQUEST_ID = "Request-Id";

    /** How long the sender of a request waits for its answer, in milliseconds. */
    private static final String DEADLINE = "Deadline-Ms";

    private static final String LAST_EVENT_ID = "Last-Event-Id";

    /** The parts of the prompt in their order, as ID:TOKENS entries separated by commas. */
    private static final String PROMPT_PARTS = "Prompt-Prefix";

    /** The identity of the engine that must run the request; any other engine rejects it. */
    private static final String EXPECTED_SERVER = "Expect-Instance";

    /** The name of the client account (the platform's tenant) that owns the caller's key. */
    private static final String ACCOUNT = "Tenant-Id";

    /** The signature by which an engine proves that the answer comes from it. */
    private static final String SIGNATURE = "Upstream-Signature";

    /** Set by an engine that did not run the request. */
    private static final String NOT_RUN = "Not-Executed";

    /** The requests a second that an engine takes from all machines together. */
    private static final String SERVER_LIMIT = "Server-Limit";

    /** Set to 1 by an engine that takes no new requests because it ends soon. */
    private static final String SERVER_LEAVING = "Server-Leaving";

    /**
     * The fields of an event; the version of the weights stands in its first line if it changed.
     */
    private static final Set<String> EVENT_FIELDS =
            Set.of("id", "data", "event", "retry", "weight-versions");

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String BEARER = "Bearer ";
    private static final int MISDIRECTED = 421;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final int FIRST_SUCCESS_STATUS = 200;
    private static final int FIRST_REDIRECT_STATUS = 300;

    @Override
    public CallerHeaders readCallerHeaders(HttpHeaders headers) {
        return new CallerHeaders(
                headers.get(REQUEST_ID, ""),
                apiKey(headers),
                optionalLong(headers, DEADLINE),
                optionalLong(headers, LAST_EVENT_ID),
                promptParts(headers));
    }

    private static List<String> promptParts(HttpHeaders headers) {
        return headers.getAll(PROMPT_PARTS).stream()
                .flatMap(value -> Arrays.stream(value.split(",")))
                .map(HeaderDialect::partId)
                .filter(id -> !id.isEmpty())
                .toList();
    }

    private static String partId(String entry) {
        int colon = entry.indexOf(':');
        return (colon < 0 ? entry : entry.substring(0, colon)).trim();
    }

    private static Optional<String> apiKey(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        return value.startsWith(BEARER)
                ? Optional.of(value.substring(BEARER.length()).trim())
                : Optional.empty();
    }

    private static OptionalLong optionalLong(HttpHeaders headers, String name) {
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
    public void setForwardHeaders(HttpHeaders headers, ForwardHeaders values) {
        headers.remove(HttpHeaderNames.AUTHORIZATION);
        headers.remove(ACCOUNT);
        values.account().ifPresent(account -> headers.set(ACCOUNT, account.name()));
        headers.set(EXPECTED_SERVER, values.server().id());
        headers.set(DEADLINE, Long.toString(values.timeLeftMs()));
        values.lastEventId().ifPresent(id -> headers.set(LAST_EVENT_ID, Long.toString(id)));
    }

    @Override
    public ReplyKind classify(int status, HttpHeaders headers) {
        if (status == MISDIRECTED) {
            return ReplyKind.OTHER_SERVER;
        }
        if (headers.contains(NOT_RUN)) {
            return ReplyKind.NOT_RUN;
        }
        boolean success = status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
        if (success && !headers.contains(SIGNATURE)) {
            return ReplyKind.UNPROVEN;
        }
        // Callers take these statuses as a guarantee that the request never runs; without the
        // header NOT_RUN the engine does not give that guarantee.
        boolean impliesNotRun =
                status == TOO_MANY_REQUESTS || status == UNAVAILABLE || status == REQUEST_TIMEOUT;
        return impliesNotRun ? ReplyKind.UNPROVEN : ReplyKind.ANSWER;
    }

    @Override
    public OptionalDouble serverLimitPerSecond(HttpHeaders headers) {
        String value = headers.get(SERVER_LIMIT);
        if (value == null) {
            return OptionalDouble.empty();
        }
        double perSecond = Double.parseDouble(value.trim());
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            throw new NumberFormatException("not a rate: " + value);
        }
        return OptionalDouble.of(perSecond);
    }

    @Override
    public boolean isLeaving(HttpHeaders headers) {
        return headers.get(SERVER_LEAVING, "").trim().equals("1");
    }

    @Override
    public OptionalLong pauseMs(int status, HttpHeaders headers) {
        List<String> values = headers.getAll(HttpHeaderNames.RETRY_AFTER);
        if (status != UNAVAILABLE || values.isEmpty()) {
            return OptionalLong.empty();
        }
        double longestSeconds = 0;
        for (String value : values) {
            double seconds = Double.parseDouble(value.trim());
            if (Double.isNaN(seconds)) {
                throw new NumberFormatException("not a time: " + value);
            }
            longestSeconds = Math.max(longestSeconds, seconds);
        }
        return OptionalLong.of((long) Math.ceil(longestSeconds * MILLIS_PER_SECOND));
    }

    @Override
    public boolean belongsTo(HttpHeaders headers, String requestId) {
        return headers.getAll(REQUEST_ID).stream().allMatch(requestId::equals);
    }

    @Override
    public boolean namesRequest(HttpHeaders headers) {
        return headers.contains(REQUEST_ID);
    }

    @Override
    public boolean isEventField(String name) {
        return EVENT_FIELDS.contains(name);
    }
}
