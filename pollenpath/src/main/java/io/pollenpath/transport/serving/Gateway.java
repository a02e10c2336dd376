package io.pollenpath.transport.serving;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.EntryCatchUp;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.coordination.serving.ServerLimits;
import io.pollenpath.coordination.serving.ServerSelector;
import io.pollenpath.coordination.serving.ServerSlowdowns;
import io.pollenpath.state.serving.CallerLimits;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingConfig;
import io.pollenpath.state.serving.ServingView;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.RepeatedTask;
import io.pollenpath.util.GuardedSteps;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Joins the parts of an entry that serve callers, and runs their timers. Runs on one event loop;
 * the public methods may be called from other threads.
 */
public final class Gateway {

    private static final long TICK_MS = 20;
    private static final long HOUSEKEEPING_MS = 500;
    private static final long STATE_LOG_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final WireDialect dialect;
    private final RequestLog log;
    private final FailureLog failures;
    private final EntryMemory memory;
    private final ServerSignals signals;
    private final String ownName;
    private final AnswerEndCheck endCheck;
    private final Dispatcher dispatcher;
    private final RequestIntake intake;
    private final BackendConnectionPool backends;
    private final BackendServers servers;
    private final CrashGuard crashGuard;
    private final EntryCatchUp catchUp = new EntryCatchUp(System.nanoTime());
    private final CallerConnections connections = new CallerConnections();
    private volatile ServingView view = ServingView.EMPTY;
    private volatile boolean stopping;
    private boolean refusing;
    private EntryPeers peers;
    private Runnable onOutOfMemory = () -> {};

    /**
     * Creates a gateway and starts its timers.
     *
     * @param loop the event loop of all traffic, not null
     * @param settings the settings of the deployment, not null
     * @param dialect the meaning of HTTP headers and statuses, not null
     * @param metrics the registry for the metrics, not null
     * @param random the source of random choices, not null
     */
    public Gateway(
            EventLoop loop,
            GatewaySettings settings,
            WireDialect dialect,
            MetricRegistry metrics,
            RandomGenerator random) {
        this.loop = loop;
        this.dialect = dialect;
        log = new RequestLog(metrics);
        failures = new FailureLog(metrics);
        memory = new EntryMemory(settings.bufferBytes(), dialect, metrics, random);
        backends = new BackendConnectionPool(loop, dialect, this::onFailure);
        endCheck = new AnswerEndCheck(loop, backends, log);
        ownName = settings.entry();
        crashGuard =
                new CrashGuard(ownName, backends, new CrashLog(metrics), random, System.nanoTime());
        ServerLimits limits = new ServerLimits(ownName, random);
        ServerSlowdowns slowdowns = new ServerSlowdowns();
        ServerSelector selector = new ServerSelector(settings.zone(), limits, slowdowns, random);
        LimitLog limitLog = new LimitLog(metrics);
        servers = new BackendServers(limits, slowdowns, selector, limitLog);
        signals = new ServerSignals(dialect, servers, limitLog);
        dispatcher =
                new Dispatcher(
                        settings,
                        this::view,
                        backends,
                        servers,
                        log,
                        crashGuard,
                        catchUp,
                        random,
                        this::onFailure);
        intake = new RequestIntake(this, dispatcher, random);
        RepeatedTask.start(loop, TICK_MS, this::tick, this::onFailure);
        RepeatedTask.start(loop, HOUSEKEEPING_MS, this::housekeep, this::onFailure);
        RepeatedTask.start(loop, STATE_LOG_INTERVAL_MS, dispatcher::logState, this::onFailure);
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        GuardedSteps.run(() -> hearPeers(nowNanos), this::onFailure);
        GuardedSteps.runAll(
                this::onFailure, () -> dispatcher.tick(nowNanos), () -> memory.onTick(nowNanos));
    }

    private void hearPeers(long nowNanos) {
        if (catchUp.onTick(nowNanos) && peers != null) {
            peers.hearAll();
        }
    }

    private void housekeep() {
        long nowNanos = System.nanoTime();
        long limitNanos = TimeUnit.MILLISECONDS.toNanos(limits().idleTimeoutMs());
        GuardedSteps.runAll(
                this::onFailure,
                () -> backends.closeStale(nowNanos),
                () -> crashGuard.expire(nowNanos),
                () -> connections.closeIdle(nowNanos, limitNanos));
    }

    /**
     * Replaces the view of configuration and servers.
     *
     * @param newView the new view, not null
     */
    public void updateView(ServingView newView) {
        view = newView;
        loop.execute(
                () ->
                        GuardedSteps.runAll(
                                this::onFailure,
                                () -> dispatcher.retainServers(newView.serverIds()),
                                () -> servers.setEntries(newView.entryNames()),
                                () -> crashGuard.detector().onView(newView, System.nanoTime()),
                                () -> onReady(newView),
                                () -> updatePeers(newView),
                                this::tick));
    }

    private void onReady(ServingView newView) {
        if (newView.isComplete()) {
            catchUp.onReady(System.nanoTime());
        }
    }

    private void updatePeers(ServingView newView) {
        if (peers != null && !newView.entries().isEmpty()) {
            peers.setAddresses(newView.otherEntryAddresses(ownName));
        }
    }

    /**
     * Starts to exchange with the other entries of the view what is known about servers.
     *
     * @param http calls the other entries, not null
     */
    public void connectEntries(HttpClient http) {
        loop.execute(
                () -> {
                    catchUp.expectEntries();
                    peers =
                            new EntryPeers(
                                    loop, http, new EntryKnowledge(crashGuard, servers), catchUp);
                    crashGuard.setOnChange(peers::onChange);
                    crashGuard.setOnLearned(peers::onLearned);
                    crashGuard.setVoters(peers);
                    servers.setOnLimitChange(peers::onChange);
                    updatePeers(view);
                });
    }

    /**
     * Handles the message of another entry.
     *
     * @return the reply; empty if the message is unreadable or no entry is connected
     */
    CompletableFuture<Optional<byte[]>> exchange(byte[] message) {
        return CompletableFuture.supplyAsync(
                () -> Optional.ofNullable(peers).flatMap(entry -> entry.receive(message)), loop);
    }

    /**
     * Returns the current view of configuration and servers.
     *
     * @return the view
     */
    public ServingView view() {
        return view;
    }

    /**
     * Returns the effective limits on callers.
     *
     * @return the limits; the defaults until there is a configuration
     */
    public CallerLimits limits() {
        return view.config().map(ServingConfig::limits).orElse(CallerLimits.DEFAULT);
    }

    /** Closes each caller connection after its next answer. */
    public void closeConnectionsAfterAnswer() {
        stopping = true;
    }

    /**
     * Sends no more requests that would be cut by the end of the process; they are refused.
     *
     * @param endNanos the time at which the process cuts what is in progress, in nanoseconds
     */
    public void expectEnd(long endNanos) {
        loop.execute(() -> dispatcher.onStop(endNanos));
    }

    /** Answers all requests that have no answer yet, before the process ends. */
    public void endRequests() {
        loop.submit(() -> dispatcher.endAll(System.nanoTime())).syncUninterruptibly();
    }

    /** Refuses new requests and closes idle connections; accepted requests continue. */
    public void refuseNewRequests() {
        loop.execute(
                () -> {
                    refusing = true;
                    connections.closeIdle(System.nanoTime(), 0);
                });
    }

    /**
     * Returns the number of requests without a final answer, or whose caller has not yet taken all
     * of it. Blocks until the event loop, which owns them, has counted them.
     *
     * @return the number
     */
    public int openRequests() {
        return loop.submit(this::countOpenRequests).syncUninterruptibly().getNow();
    }

    private int countOpenRequests() {
        return dispatcher.openRequests() + connections.unsentAnswers();
    }

    boolean isStopping() {
        return stopping;
    }

    WireDialect dialect() {
        return dialect;
    }

    /**
     * Sets what happens when memory has run out in the middle of some work, so that nothing tells
     * what state that work has left.
     *
     * @param newOnOutOfMemory ends the process, not null
     */
    public void setOnOutOfMemory(Runnable newOnOutOfMemory) {
        onOutOfMemory = newOnOutOfMemory;
    }

    /** Hears of work on the event loop that failed. */
    void onFailure(Throwable cause) {
        onFailure(cause, "");
    }

    /** Hears of a step of a request that failed. */
    void onFailure(Throwable cause, ForwardedRequest request) {
        onFailure(cause, request.context().callerHeaders().requestId());
    }

    private void onFailure(Throwable cause, String requestId) {
        if (failures.onFailure(cause, requestId, System.nanoTime())) {
            onOutOfMemory.run();
        }
    }

    /**
     * Forgets a request of which a step has failed.
     *
     * @param wasDone whether its end was told before
     */
    void abandon(ForwardedRequest request, boolean wasDone) {
        long nowNanos = System.nanoTime();
        dispatcher.abandon(request, nowNanos);
        if (!wasDone) {
            log.done(request, request.reply().status(), GatewayProblems.INTERNAL_ERROR, nowNanos);
        }
    }

    EntryMemory memory() {
        return memory;
    }

    RequestLog log() {
        return log;
    }

    CallerConnections connections() {
        return connections;
    }

    /** Accepts a complete request; returns null if it is already answered. */
    ForwardedRequest accept(CallerRequest request, CallerAnswer caller) {
        return intake.accept(request, caller, refusing);
    }

    /** Hears that an answer went on after its first event. */
    void onAnswerGoesOn(ForwardedRequest request) {
        crashGuard.onAnswerGoesOn(request, System.nanoTime());
    }

    void onEventGap(ForwardedRequest request, long gapNanos, long nowNanos) {
        dispatcher.onEventGap(request, gapNanos, nowNanos);
    }

    /** Decides on a request that is about to be written to its server; if that fails, not now. */
    void authorizeSend(ForwardedRequest request, Consumer<Boolean> result) {
        long nowNanos = System.nanoTime();
        if (catchUp.isBehind(nowNanos)) {
            result.accept(false);
        } else {
            GuardedSteps.run(
                    () -> crashGuard.authorizeSend(request, nowNanos, result),
                    cause -> {
                        onFailure(cause, request);
                        result.accept(false);
                    });
        }
    }

    /** Answers or queues a request that was not written to the server chosen for it. */
    void onWithheld(ForwardedRequest request, ServerInstance server) {
        dispatcher.onWithheld(request, server, System.nanoTime());
    }

    /** Hears what a server says of itself in an answer. */
    void onAnswerHead(ForwardedRequest request, int status, HttpHeaders headers) {
        signals.onAnswerHead(request, status, headers, System.nanoTime());
    }

    /** Checks whether the server of an answer that ended with its connection still runs. */
    void checkServer(ForwardedRequest request, Consumer<Reachability> result) {
        endCheck.check(request, server -> view.isReplaced(server), result);
    }

    /**
     * Sets who knows which process runs as a server.
     *
     * @param incarnations asks the servers, not null
     */
    public void setIncarnations(ServerIncarnations incarnations) {
        loop.execute(() -> endCheck.setIncarnations(incarnations));
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
