package io.pollenpath.transport.entry;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.coordination.retry.RetryBudgets;
import io.pollenpath.coordination.routing.Router;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.state.Executed;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpHandler;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.PeerHandler;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.LogLine;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers callers: checks identity and contract, then starts the delivery of the request. */
public final class EntryHandler implements HttpHandler, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(EntryHandler.class);
    private static final String REQUESTS = "/v1/requests/";
    private static final String LAST_EVENT_ID = "last-event-id";
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int RETRY_AFTER_STOP_MS = 1_000;

    private final EntryOptions options;
    private final Traces traces;
    private final RunClaimStore guard;
    private final IdempotencyKeys keys = new IdempotencyKeys();
    private final SideLinks links;
    private final RequestReader reader;
    private final EntryLimits limits;
    private final RetryBudgets retryBudgets = new RetryBudgets();
    private final AtomicInteger open = new AtomicInteger();
    private volatile ConfigSnapshot config = ConfigSnapshot.EMPTY;
    private volatile boolean accepting = true;

    /**
     * Creates the handler.
     *
     * @param options the settings, not null
     * @param loops the event loops, not null
     * @param router chooses the servers, not null
     * @param guard decides which executor may run a non-idempotent request, not null
     * @param traces records the hops, not null
     * @param configPeers takes the frames about configuration of every link, not null
     */
    public EntryHandler(
            EntryOptions options,
            NettyLoops loops,
            Router router,
            RunClaimStore guard,
            Traces traces,
            PeerHandler configPeers) {
        this.options = options;
        this.guard = guard;
        this.traces = traces;
        links = new SideLinks(loops, router, configPeers);
        reader =
                new RequestReader(
                        options.name() + "-" + Long.toString(System.currentTimeMillis(), 36) + "-");
        limits = new EntryLimits(options.liveEntries());
    }

    /**
     * Takes new declarations; runs on the control thread.
     *
     * @param snapshot the declarations, not null
     */
    public void onConfig(ConfigSnapshot snapshot) {
        links.onConfig(snapshot);
        config = snapshot;
    }

    /**
     * Tells whether requests can be served.
     *
     * @return true if declarations are in force and a server accepts work
     */
    public boolean isReady() {
        return accepting && config.revision() > 0 && links.readyCount() > 0;
    }

    /**
     * Counts the requests that are being served.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return open.get();
    }

    /** Refuses new requests from now on. */
    public void stopAccepting() {
        accepting = false;
    }

    @Override
    public void handle(HttpCall call, HttpExchange exchange) {
        Span span = traces.start("entry.request", call.header(Traces.TRACEPARENT));
        try {
            deliver(call, exchange, span);
        } catch (ProblemException e) {
            answer(exchange, span, e.problem());
        }
    }

    private void deliver(HttpCall call, HttpExchange exchange, Span span) {
        if (!accepting) {
            throw new ProblemException(
                    new Problem(
                            STATUS_UNAVAILABLE,
                            "stopping",
                            "this entry is stopping; send the request again",
                            Executed.NO,
                            RETRY_AFTER_STOP_MS));
        }
        if (call.path().startsWith(REQUESTS) || !call.header(LAST_EVENT_ID).isEmpty()) {
            resume(call, exchange, span);
            return;
        }
        CallerRequest request =
                IdempotencyKeys.identify(
                        reader.read(call, config, System.nanoTime()),
                        call.header(IdempotencyKeys.HEADER));
        span.setAttribute("request", request.requestId());
        span.setAttribute("customer", request.contract().customer());
        if (!links.isKnown(request.target())) {
            throw rejected(
                    STATUS_NOT_FOUND,
                    "unknown_target",
                    "no server is declared for '" + request.target() + "'; check the name");
        }
        limits.admit(request.contract(), System.nanoTime());
        openKey(request);
        open.incrementAndGet();
        new Delivery(
                        options,
                        links,
                        new ClaimedRoute(guard, request),
                        traces,
                        request,
                        exchange,
                        span,
                        retryBudgets.of(request.contract().customer()),
                        () -> ended(request))
                .start();
    }

    /** Opens the key of a request; a key that is open already gives the limits back. */
    private void openKey(CallerRequest request) {
        try {
            keys.open(request);
        } catch (ProblemException e) {
            limits.release(request.contract());
            throw e;
        }
    }

    private void ended(CallerRequest request) {
        keys.close(request);
        limits.release(request.contract());
        open.decrementAndGet();
    }

    private void resume(HttpCall call, HttpExchange exchange, Span span) {
        String customer = RequestReader.contractOf(call, config).customer();
        EventId after = EventId.parse(call.header(LAST_EVENT_ID));
        boolean get = call.path().startsWith(REQUESTS);
        if (after == null || (get && !call.path().equals(REQUESTS + after.requestId()))) {
            throw rejected(
                    STATUS_BAD_REQUEST,
                    "malformed_event_id",
                    "send Last-Event-ID as received, with the request id that it names");
        }
        SideLink link = links.link(after.server());
        if (link == null) {
            throw new ProblemException(SideProblems.undeclared(after.server()));
        }
        span.setAttribute("request", after.requestId());
        span.setAttribute("customer", customer);
        open.incrementAndGet();
        new Resumption(
                        link,
                        after,
                        customer,
                        options.delivery(),
                        exchange,
                        span,
                        open::decrementAndGet)
                .start();
    }

    private static ProblemException rejected(int status, String code, String detail) {
        return new ProblemException(Problem.rejected(status, code, detail));
    }

    private static void answer(HttpExchange exchange, Span span, Problem problem) {
        Map<String, String> headers = new HashMap<>();
        headers.put(Traces.TRACEPARENT, Traces.traceparent(span));
        if (problem.retryAfterMs() > 0) {
            headers.put("retry-after", Integer.toString(problem.retryAfterSeconds()));
        }
        exchange.respond(problem.status(), Problem.MEDIA_TYPE, headers, problem.toJson(""));
        LOG.info(
                "{}",
                LogLine.event("request_refused")
                        .with("trace", span.getSpanContext().getTraceId())
                        .with("request", Traces.attribute(span, "request"))
                        .with("customer", Traces.attribute(span, "customer"))
                        .with("outcome", problem.code())
                        .with("executed", problem.executed().wireName()));
        span.setAttribute("outcome", problem.code());
        span.end();
    }

    @Override
    public void close() {
        links.close();
    }
}
