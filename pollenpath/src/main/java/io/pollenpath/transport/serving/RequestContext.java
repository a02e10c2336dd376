package io.pollenpath.transport.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.pollenpath.state.serving.ClientAccount;
import io.pollenpath.state.serving.CrashSuspect;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServerInstance;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The immutable data of an accepted request.
 *
 * @param method the HTTP method
 * @param uri the path with its query
 * @param headers the caller's headers without the hop-by-hop ones
 * @param body the complete body
 * @param callerHeaders the values parsed from the caller's headers
 * @param route the matched route
 * @param service the service selected for the request
 * @param account the customer; empty on public routes
 * @param configVersion the version of the configuration that the route was taken from
 * @param arrivedNanos the time at which the complete request was received
 * @param deadlineNanos the deadline by the caller timeout or the route timeout, the earlier one
 */
record RequestContext(
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        CallerHeaders callerHeaders,
        Route route,
        String service,
        Optional<ClientAccount> account,
        long configVersion,
        long arrivedNanos,
        long deadlineNanos) {

    /** Returns what identifies all attempts of this request. */
    CrashSuspect requestSuspect() {
        return CrashSuspect.ofRequest(
                accountName(), method, host(), uri, callerHeaders.promptParts(), body);
    }

    /** Returns what identifies all requests with the content of this one. */
    CrashSuspect contentSuspect() {
        return CrashSuspect.ofContent(method, host(), uri, callerHeaders.promptParts(), body);
    }

    /** Returns what identifies all requests to the path of this one. */
    CrashSuspect pathSuspect() {
        return CrashSuspect.ofPath(method, host(), Uris.pathOf(uri));
    }

    /** Returns what different requests with prompts share with this one. */
    List<CrashSuspect> promptSuspects() {
        List<CrashSuspect> suspects = new ArrayList<>();
        if (!callerHeaders.promptParts().isEmpty()) {
            suspects.add(CrashSuspect.ofAnyPrompt(accountName(), method, host(), uri, body));
        }
        callerHeaders.sharedPromptParts().stream()
                .distinct()
                .map(CrashSuspect::ofPromptPart)
                .forEach(suspects::add);
        return suspects;
    }

    /** Returns the request as it is sent to a server. */
    FullHttpRequest toHttpRequest(
            WireDialect dialect, ServerInstance target, long timeLeftMs, OptionalLong lastEventId) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(method),
                        uri,
                        Unpooled.wrappedBuffer(body));
        request.headers().add(headers);
        dialect.setForwardHeaders(
                request.headers(), new ForwardHeaders(target, timeLeftMs, account, lastEventId));
        if (body.length > 0 || !method.equals("GET")) {
            HttpUtil.setContentLength(request, body.length);
        }
        return request;
    }

    /** Returns whether the length that an answer names is that of a body which follows. */
    boolean mayBeAnsweredWithBody() {
        return !method.equals("HEAD");
    }

    private String accountName() {
        return account.map(ClientAccount::name).orElse("");
    }

    private String host() {
        return headers.get(HttpHeaderNames.HOST, "");
    }

    int priority() {
        return account.map(known -> known.priorityOn(route)).orElse(route.priority());
    }
}
