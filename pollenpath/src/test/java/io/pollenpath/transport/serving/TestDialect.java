package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** A dialect whose answers may name their request, and whose events have two fields. */
final class TestDialect implements WireDialect {

    @Override
    public CallerHeaders readCallerHeaders(HttpHeaders headers) {
        return new CallerHeaders(
                "r", Optional.empty(), OptionalLong.empty(), OptionalLong.empty(), List.of());
    }

    @Override
    public void setForwardHeaders(HttpHeaders headers, ForwardHeaders values) {}

    @Override
    public ReplyKind classify(int status, HttpHeaders headers) {
        return ReplyKind.ANSWER;
    }

    @Override
    public OptionalDouble serverLimitPerSecond(HttpHeaders headers) {
        return OptionalDouble.empty();
    }

    @Override
    public boolean isLeaving(HttpHeaders headers) {
        return false;
    }

    @Override
    public OptionalLong pauseMs(int status, HttpHeaders headers) {
        return OptionalLong.empty();
    }

    @Override
    public boolean belongsTo(HttpHeaders headers, String requestId) {
        return headers.get("Request-Id", requestId).equals(requestId);
    }

    @Override
    public boolean namesRequest(HttpHeaders headers) {
        return headers.contains("Request-Id");
    }

    @Override
    public boolean isEventField(String name) {
        return name.equals("id") || name.equals("data");
    }
}
