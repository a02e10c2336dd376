package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.QueueTimeouts;
import io.pollenpath.coordination.serving.ResendPolicy;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.coordination.serving.ServerHealth;
import io.pollenpath.coordination.serving.ServerSelector;
import io.pollenpath.coordination.serving.SharedRetryBudget;
import io.pollenpath.coordination.serving.WaitingRequests.QueuedRequest;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.serving.EnginePerformance;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServiceSpec;
import io.pollenpath.state.serving.ServingView;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Queues requests, sends them to servers, and decides what follows when a send fails. All calls
 * come from one event loop.
 */
final class Dispatcher {

    /** How long a request that was sent before waits for another server, in milliseconds. */
    private static final long RESEND_WAIT_MS = 1_500;

    private static final int RESEND_RANK = -1;

    private final GatewaySettings settings;
    private final Supplier<ServingView> view;
    private final BackendConnections connections;
    private final RequestLog log;
    private final RandomGenerator random;
    private final ServerSelector placement;
    private final Map<String, ServiceTraffic> traffic = new HashMap<>();
    private final Map<String, ServerHealth> records = new HashMap<>();
    private final Set<ForwardedRequest> sent = new HashSet<>();

    Dispatcher(
            GatewaySettings settings,
            Supplier<ServingView> view,
            BackendConnections connections,
            RequestLog log,
            RandomGenerator random) {
        this.settings = settings;
        this.view = view;
        this.connections = connections;
        this.log = log;
        this.random = random;
        placement = new ServerSelector(settings.zone(), random);
    }

    /** Takes a new request. */
    void submit(ForwardedRequest request, boolean returning, long nowNanos) {
        ServiceTraffic service = traffic(request.context().service());
        service.budget().onRequest(nowNanos);
        long waitMs = QueueTimeouts.maxQueueMs(request.timeLeftMs(nowNanos));
        if (service.expectedWaitMs() > waitMs) {
            giveUp(request, "queue_too_long", nowNanos);
            return;
        }
        enqueue(service, request, request.context().priority(), returning, waitMs, nowNanos);
        drain(request.context().service(), nowNanos);
    }

    private void enqueue(
            ServiceTraffic service,
            ForwardedRequest request,
            int rank,
            boolean returning,
            long waitMs,
            long nowNanos) {
        long giveUpNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMs);
        long lateNanos =
                request.context().arrivedNanos()
                        + TimeUnit.MILLISECONDS.toNanos(
                                QueueTimeouts.onTimeQueueMs(request.route()));
        service.waiting().add(rank, returning, lateNanos, giveUpNanos, request);
    }

    private ServiceTraffic traffic(String service) {
        return traffic.computeIfAbsent(
                service,
                name ->
                        new ServiceTraffic(
                                new SharedRetryBudget(
                                        settings.retryRatio(),
                                        settings.retryAllowance(),
                                        settings.retryWindowMs())));
    }

    private ServerHealth record(String serverId) {
        return records.computeIfAbsent(serverId, id -> new ServerHealth());
    }

    /** Sends waiting requests of a service as long as there is room. */
    private void drain(String name, long nowNanos) {
        ServiceTraffic service = traffic(name);
        Optional<QueuedRequest<ForwardedRequest>> next = service.waiting().first();
        while (next.isPresent() && sendIfRoom(name, service, next.get(), nowNanos)) {
            next = service.waiting().first();
        }
    }

    private boolean sendIfRoom(
            String name,
            ServiceTraffic service,
            QueuedRequest<ForwardedRequest> ticket,
            long nowNanos) {
        ServingView now = view.get();
        List<ServerInstance> servers = now.serversOf(name);
        ForwardedRequest request = ticket.request();
        boolean resend = request.sends() > 0;
        if (!resend && !admits(name, service, servers, now)) {
            return false;
        }
        Optional<ServerInstance> server =
                placement.choose(
                        servers, now.outdated(), this::record, request.tried(), !resend, nowNanos);
        if (server.isEmpty()) {
            return false;
        }
        service.waiting().remove(request);
        service.onSent();
        sent.add(request);
        record(server.get().id()).onSent();
        request.send(server.get(), connections, nowNanos);
        return true;
    }

    private boolean admits(
            String name, ServiceTraffic service, List<ServerInstance> servers, ServingView now) {
        Optional<EnginePerformance> pace = pace(now, name);
        double equalShare = (double) ServiceTraffic.totalSlots(servers) / now.liveEntries();
        return pace.isEmpty() || service.limit(pace.get()).admits(service.inFlight(), equalShare);
    }

    private static Optional<EnginePerformance> pace(ServingView now, String name) {
        return now.config()
                .flatMap(config -> config.service(name))
                .flatMap(ServiceSpec::performance);
    }

    /** Takes the pause between two events of a stream. */
    void onEventGap(ForwardedRequest request, long gapNanos, long nowNanos) {
        String name = request.context().service();
        ServiceTraffic service = traffic(name);
        service.onProgress(nowNanos);
        Optional<EnginePerformance> pace = pace(view.get(), name);
        if (pace.isPresent()) {
            double objectiveMs = (double) request.route().gapObjectiveMs();
            service.limit(pace.get()).onGap(gapNanos / 1e6, objectiveMs, service.inFlight());
        }
    }

    /** Decides what follows after a send has failed. */
    void onSendFailed(
            ForwardedRequest request,
            ServerInstance server,
            SendOutcome outcome,
            String cause,
            long nowNanos) {
        noteFailure(server, outcome, nowNanos);
        leaveServer(request, server, nowNanos);
        ServiceTraffic service = traffic(request.context().service());
        long timeLeftMs = request.timeLeftMs(nowNanos);
        ResendPolicy.Decision decision =
                ResendPolicy.decide(
                        request.route(),
                        outcome,
                        request.sends(),
                        request.mayHaveRun(),
                        timeLeftMs);
        boolean resend =
                decision == ResendPolicy.Decision.RESEND
                        && (request.sends() == 0
                                || service.budget().tryRetry(view.get().liveEntries(), nowNanos));
        log.sendFailed(request, server, outcome, cause, resend ? "RESEND" : decision.name());
        if (resend) {
            long waitMs = Math.min(RESEND_WAIT_MS, timeLeftMs);
            enqueue(service, request, RESEND_RANK, true, waitMs, nowNanos);
        } else if (outcome == SendOutcome.RUN_AND_FAILED && !request.headPassedOn()) {
            request.passOnFailure();
        } else {
            giveUp(request, "send_failed", nowNanos);
        }
        drain(request.context().service(), nowNanos);
    }

    private void noteFailure(ServerInstance server, SendOutcome outcome, long nowNanos) {
        if (server == null) {
            return;
        }
        ServerHealth record = record(server.id());
        switch (outcome) {
            case NOT_SENT, UNKNOWN, OTHER_SERVER -> record.onConnectionFailure(nowNanos);
            case NOT_RUN, RUN_AND_FAILED -> record.onFailure();
        }
    }

    private void leaveServer(ForwardedRequest request, ServerInstance server, long nowNanos) {
        if (sent.remove(request)) {
            traffic(request.context().service()).onEnded(nowNanos);
            record(server.id()).onEnded();
        }
    }

    /** Answers a request for which nothing more is tried. */
    private void giveUp(ForwardedRequest request, String reason, long nowNanos) {
        Problem problem = finalProblem(request, reason, nowNanos);
        request.fail(
                problem.status(),
                Refusals.headers(problem),
                problem.toJson(request.context().facts().requestId()),
                reason);
    }

    private Problem finalProblem(ForwardedRequest request, String reason, long nowNanos) {
        if (request.mayHaveRun()) {
            boolean late = request.timeLeftMs(nowNanos) <= 0;
            return Refusals.failed(late ? Refusals.GATEWAY_TIMEOUT : Refusals.BAD_GATEWAY, reason);
        }
        ServiceTraffic service = traffic(request.context().service());
        long returnMs =
                QueueTimeouts.retryAfterMs(
                        service.expectedWaitMs(),
                        service.silentMs(nowNanos),
                        request.timeLeftMs(nowNanos),
                        random);
        int servers = view.get().serversOf(request.context().service()).size();
        log.refused(request, reason, service, servers, returnMs);
        return Refusals.notRun(reason, "no server is free in time; come back later", returnMs);
    }

    /** Forgets a request that has its final answer or whose caller is gone. */
    void onDone(ForwardedRequest request, boolean answered, long nowNanos) {
        String name = request.context().service();
        traffic(name).waiting().remove(request);
        ServerInstance server = request.server();
        if (server != null) {
            if (answered) {
                record(server.id()).onSuccess();
                traffic(name).onProgress(nowNanos);
            }
            leaveServer(request, server, nowNanos);
            drain(name, nowNanos);
        }
    }

    /** Refuses what has waited too long, ends what is past its time, and fills free places. */
    void tick(long nowNanos) {
        for (Map.Entry<String, ServiceTraffic> entry : Map.copyOf(traffic).entrySet()) {
            entry.getValue().waiting().demoteLate(nowNanos);
            for (QueuedRequest<ForwardedRequest> late :
                    entry.getValue().waiting().removeExpired(nowNanos)) {
                giveUp(late.request(), "no_free_server", nowNanos);
            }
            drain(entry.getKey(), nowNanos);
        }
        for (ForwardedRequest request : Set.copyOf(sent)) {
            checkSent(request, nowNanos);
        }
    }

    private void checkSent(ForwardedRequest request, long nowNanos) {
        if (request.isDone() || !sent.contains(request)) {
            return;
        }
        if (request.timeLeftMs(nowNanos) <= 0) {
            if (request.sends() > 0) {
                request.assumeRun();
            }
            giveUp(request, "timeout", nowNanos);
            return;
        }
        if (request.route().mayRunAgain() && request.silenceMs(nowNanos) > silenceLimit(request)) {
            request.abandonSilentServer();
        }
    }

    private long silenceLimit(ForwardedRequest request) {
        long twoObjectives = 2 * request.route().objectiveMs();
        return request.route().streaming()
                ? Math.max(settings.silenceMs(), twoObjectives)
                : twoObjectives;
    }

    /** Forgets servers that are gone. */
    void retain(Set<String> serverIds) {
        Set<String> inUse = new HashSet<>(serverIds);
        sent.forEach(
                request -> {
                    if (request.server() != null) {
                        inUse.add(request.server().id());
                    }
                });
        records.keySet().retainAll(inUse);
        connections.retain(serverIds);
    }

    /** Counts the requests that wait or run. */
    int open() {
        int waiting = 0;
        for (ServiceTraffic service : traffic.values()) {
            waiting += service.waiting().size();
        }
        return waiting + sent.size();
    }
}
