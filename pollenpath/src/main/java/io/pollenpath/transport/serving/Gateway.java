package io.pollenpath.transport.serving;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.serving.CallerLimits;
import io.pollenpath.state.serving.ClientAccount;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingConfig;
import io.pollenpath.state.serving.ServingView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Takes callers' requests, finds their route and account, and hands them to the dispatcher. It
 * lives on one event loop; its public methods may be called from other threads.
 */
public final class Gateway {

    private static final long TICK_MS = 20;
    private static final long HOUSEKEEPING_MS = 500;
    private static final long NOT_READY_RETURN_MS = 500;

    /** A caller with less than this part of the longest patience was refused before. */
    private static final double RETURNING_PART = 0.95;

    private final EventLoop loop;
    private final WireDialect dialect;
    private final RequestLog log;
    private final Dispatcher dispatcher;
    private final BackendConnections backends;
    private final RandomGenerator random;
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Map<String, Long> longestPatienceMs = new HashMap<>();
    private volatile ServingView view = ServingView.EMPTY;
    private volatile boolean stopping;
    private boolean refusing;

    /**
     * Creates a gateway and starts its timers.
     *
     * @param loop the event loop of all traffic, not null
     * @param settings the bounds of the deployment, not null
     * @param dialect translates headers and statuses, not null
     * @param metrics takes counters, not null
     * @param random spreads choices, not null
     */
    public Gateway(
            EventLoop loop,
            GatewaySettings settings,
            WireDialect dialect,
            MetricRegistry metrics,
            RandomGenerator random) {
        this.loop = loop;
        this.dialect = dialect;
        this.random = random;
        log = new RequestLog(metrics);
        backends = new BackendConnections(loop, dialect);
        dispatcher = new Dispatcher(settings, this::view, backends, log, random);
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(
                this::housekeep, HOUSEKEEPING_MS, HOUSEKEEPING_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        dispatcher.tick(System.nanoTime());
    }

    private void housekeep() {
        long nowNanos = System.nanoTime();
        backends.closeStale(nowNanos);
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(limits().idleTimeoutMs());
        List.copyOf(connections)
                .forEach(connection -> connection.closeIfIdle(nowNanos, limitNanos));
    }

    /**
     * Replaces what this entry believes.
     *
     * @param newer the view, not null
     */
    public void updateView(ServingView newer) {
        view = newer;
        loop.execute(
                () -> {
                    dispatcher.retain(newer.serverIds());
                    tick();
                });
    }

    /**
     * Returns what this entry believes.
     *
     * @return the view
     */
    public ServingView view() {
        return view;
    }

    /**
     * Returns the limits of callers that are in force.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return view.config().map(ServingConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    /** Makes every further answer the last one of its connection. */
    public void closeConnectionsAfterAnswer() {
        stopping = true;
    }

    /** Refuses new requests and closes idle connections; what was accepted goes on. */
    public void refuseNewRequests() {
        loop.execute(
                () -> {
                    refusing = true;
                    long nowNanos = System.nanoTime();
                    List.copyOf(connections).forEach(open -> open.closeIfIdle(nowNanos, 0));
                });
    }

    /**
     * Counts the requests without a final answer; waits for the event loop, which owns them.
     *
     * @return the number
     */
    public int openRequests() {
        return loop.submit(dispatcher::open).syncUninterruptibly().getNow();
    }

    boolean isStopping() {
        return stopping;
    }

    WireDialect dialect() {
        return dialect;
    }

    RequestLog log() {
        return log;
    }

    Set<CallerConnection> connections() {
        return connections;
    }

    /** Takes a whole request; returns it while its answer is under way, or null if answered. */
    ForwardedRequest accept(FullHttpRequest request, CallerAnswer caller) {
        CallerHeaders facts = dialect.readCallerHeaders(request.headers());
        Optional<ServingConfig> config = view.config();
        if (config.isEmpty() || refusing) {
            String code = refusing ? "stopping" : "no_configuration";
            reject(
                    request,
                    caller,
                    facts,
                    Refusals.notRun(code, "another entry serves it; come back", returnMs()));
            return null;
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = config.get().route(host, pathOf(request.uri()));
        if (route.isEmpty()) {
            reject(request, caller, facts, Refusals.noRoute());
            return null;
        }
        Optional<ClientAccount> account = facts.key().flatMap(config.get()::account);
        if (account.isEmpty() && config.get().needsKey(route.get())) {
            reject(request, caller, facts, Refusals.unknownKey());
            return null;
        }
        return forward(request, caller, facts, config.get(), route.get(), account);
    }

    private long returnMs() {
        return refusing ? 1 : NOT_READY_RETURN_MS;
    }

    private ForwardedRequest forward(
            FullHttpRequest request,
            CallerAnswer caller,
            CallerHeaders facts,
            ServingConfig config,
            Route route,
            Optional<ClientAccount> account) {
        long nowNanos = System.nanoTime();
        long patienceMs = facts.patienceMs().orElse(route.timeoutMs());
        long limitMs = Math.min(patienceMs, route.timeoutMs());
        RequestContext context =
                new RequestContext(
                        request.method().name(),
                        request.uri(),
                        HopHeaders.withoutHop(request.headers()),
                        ByteBufUtil.getBytes(request.content()),
                        facts,
                        route,
                        route.serviceFor(random.nextDouble()),
                        account,
                        config.version(),
                        nowNanos,
                        nowNanos + TimeUnit.MILLISECONDS.toNanos(limitMs));
        ForwardedRequest forwarded = new ForwardedRequest(this, caller, context);
        dispatcher.submit(forwarded, isReturning(route, patienceMs), nowNanos);
        return forwarded.isDone() ? null : forwarded;
    }

    private boolean isReturning(Route route, long patienceMs) {
        long longest = longestPatienceMs.merge(route.name(), patienceMs, Math::max);
        return patienceMs < RETURNING_PART * longest;
    }

    private static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private void reject(
            FullHttpRequest request, CallerAnswer caller, CallerHeaders facts, Problem problem) {
        long version = view.config().map(ServingConfig::version).orElse(0L);
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        log.rejected(facts, host, request.uri(), version, problem.status());
        HttpHeaders headers = Refusals.headers(problem);
        caller.whole(problem.status(), headers, problem.toJson(facts.requestId()));
    }

    void onEventGap(ForwardedRequest request, long gapNanos, long nowNanos) {
        dispatcher.onEventGap(request, gapNanos, nowNanos);
    }

    void onSendFailed(
            ForwardedRequest request, ServerInstance server, SendOutcome outcome, String cause) {
        dispatcher.onSendFailed(request, server, outcome, cause, System.nanoTime());
    }

    void onDone(ForwardedRequest request, int status, String reason) {
        long nowNanos = System.nanoTime();
        log.done(request, status, reason, nowNanos);
        dispatcher.onDone(request, reason.equals("answered"), nowNanos);
    }
}
