package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.serving.ClientAccount;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServingConfig;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Takes the requests of callers: resolves route and account, and passes each request to the
 * dispatcher or answers it with why it can't be taken. All calls are made on one event loop.
 */
final class RequestIntake {

    private static final long NOT_READY_RETRY_AFTER_MS = 500;

    private final Gateway gateway;
    private final Dispatcher dispatcher;
    private final RandomGenerator random;
    private final ReturningCallers returning = new ReturningCallers();

    RequestIntake(Gateway gateway, Dispatcher dispatcher, RandomGenerator random) {
        this.gateway = gateway;
        this.dispatcher = dispatcher;
        this.random = random;
    }

    /**
     * Accepts a complete request.
     *
     * @param refusing whether this entry takes no requests any more
     * @return null if the request is already answered
     */
    ForwardedRequest accept(CallerRequest request, CallerAnswer caller, boolean refusing) {
        HttpRequest head = request.head();
        CallerHeaders callerHeaders = gateway.dialect().readCallerHeaders(head.headers());
        Optional<ServingConfig> config = gateway.view().config();
        if (config.isEmpty() || refusing) {
            String code = refusing ? "stopping" : "no_configuration";
            reject(
                    head,
                    caller,
                    callerHeaders,
                    GatewayProblems.notExecuted(
                            code,
                            "another entry serves this request; retry later",
                            retryAfterMs(refusing)));
            return null;
        }
        if (request.problem().isPresent()) {
            reject(head, caller, callerHeaders, request.problem().get());
            return null;
        }
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = config.get().route(host, Uris.pathOf(head.uri()));
        if (route.isEmpty()) {
            reject(head, caller, callerHeaders, GatewayProblems.noRoute());
            return null;
        }
        Optional<ClientAccount> account = callerHeaders.key().flatMap(config.get()::account);
        if (account.isEmpty() && config.get().needsKey(route.get())) {
            reject(head, caller, callerHeaders, GatewayProblems.unknownKey());
            return null;
        }
        return forward(request, caller, callerHeaders, config.get(), route.get(), account);
    }

    private static long retryAfterMs(boolean refusing) {
        return refusing ? 1 : NOT_READY_RETRY_AFTER_MS;
    }

    private ForwardedRequest forward(
            CallerRequest request,
            CallerAnswer caller,
            CallerHeaders callerHeaders,
            ServingConfig config,
            Route route,
            Optional<ClientAccount> account) {
        long nowNanos = System.nanoTime();
        long callerTimeoutMs = callerHeaders.callerTimeoutMs().orElse(route.timeoutMs());
        long timeoutMs = Math.min(callerTimeoutMs, route.timeoutMs());
        RequestContext context =
                new RequestContext(
                        request.head().method().name(),
                        request.head().uri(),
                        HopByHopHeaders.withoutHopByHop(request.head().headers()),
                        request.body(),
                        callerHeaders,
                        route,
                        route.serviceFor(random.nextDouble()),
                        account,
                        config.version(),
                        nowNanos,
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs));
        ForwardedRequest forwarded = new ForwardedRequest(gateway, caller, context);
        boolean retried = returning.isRetry(route, callerTimeoutMs);
        forwarded.guard(() -> dispatcher.submit(forwarded, retried, nowNanos));
        return forwarded.isDone() ? null : forwarded;
    }

    private void reject(
            HttpRequest head, CallerAnswer caller, CallerHeaders callerHeaders, Problem problem) {
        long version = gateway.view().config().map(ServingConfig::version).orElse(0L);
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        gateway.log().rejected(callerHeaders, host, head.uri(), version, problem.status());
        HttpHeaders headers = GatewayProblems.headers(problem);
        caller.writeFull(problem.status(), headers, problem.toJson(callerHeaders.requestId()));
    }
}
