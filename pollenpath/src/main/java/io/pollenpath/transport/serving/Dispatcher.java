package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.EntryCatchUp;
import io.pollenpath.coordination.serving.QueueTimeouts;
import io.pollenpath.coordination.serving.ResendPolicy;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.coordination.serving.StopPolicy;
import io.pollenpath.coordination.serving.WaitingRequests.QueuedRequest;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingView;
import io.pollenpath.util.GuardedSteps;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Queues requests, sends them to servers, and decides whether to resend them after a failure. All
 * calls are made on one event loop.
 */
final class Dispatcher {

    /** The longest time that a request queues for another server after a failed send. */
    private static final long RESEND_QUEUE_TIMEOUT_MS = 1_500;

    private static final int RESEND_PRIORITY = -1;

    private final GatewaySettings settings;
    private final Supplier<ServingView> view;
    private final BackendConnectionPool connections;
    private final RequestLog log;
    private final CrashGuard crashGuard;
    private final EntryCatchUp catchUp;
    private final ProblemAnswers problems;
    private final Consumer<Throwable> onFailure;
    private final BackendServers servers;
    private final TrafficByService traffic;
    private final Map<ForwardedRequest, ServerInstance> inFlight = new HashMap<>();
    private final RetryReservations retries = new RetryReservations();
    private final StopPolicy stopPolicy = new StopPolicy();

    Dispatcher(
            GatewaySettings settings,
            Supplier<ServingView> view,
            BackendConnectionPool connections,
            BackendServers servers,
            RequestLog log,
            CrashGuard crashGuard,
            EntryCatchUp catchUp,
            RandomGenerator random,
            Consumer<Throwable> onFailure) {
        this.settings = settings;
        this.view = view;
        this.connections = connections;
        this.log = log;
        this.servers = servers;
        this.crashGuard = crashGuard;
        this.catchUp = catchUp;
        this.onFailure = onFailure;
        traffic = new TrafficByService(settings);
        problems = new ProblemAnswers(view, servers, log, crashGuard, random);
    }

    /**
     * Queues a new request, or refuses it if the expected wait is too long.
     *
     * @param retried whether the caller was refused before, so that its answer is late already
     */
    void submit(ForwardedRequest request, boolean retried, long nowNanos) {
        ServiceTraffic service = traffic.of(request.context().service());
        service.retryBudget().onRequest(nowNanos);
        if (problems.refuseIfBlocked(request, nowNanos)) {
            return;
        }
        if (stopPolicy.isTooLate(request.route(), nowNanos)) {
            answerWithProblem(request, ProblemAnswers.STOPPING, nowNanos);
            return;
        }
        long waitMs = QueueTimeouts.maxQueueMs(request.timeLeftMs(nowNanos));
        if (problems.isQueueTooLong(request, service, nowNanos)) {
            answerWithProblem(request, "queue_too_long", nowNanos);
            return;
        }
        enqueue(request, request.context().priority(), retried, waitMs, nowNanos);
        sendQueued(request.context().service(), nowNanos);
    }

    private void enqueue(
            ForwardedRequest request, int priority, boolean retried, long waitMs, long nowNanos) {
        long giveUpNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMs);
        long lateNanos =
                QueueTimeouts.lateAtNanos(request.route(), request.context().arrivedNanos());
        traffic.of(request.context().service())
                .queue()
                .add(priority, retried, lateNanos, giveUpNanos, request);
    }

    /**
     * Sends queued requests of a service while there is free capacity. No other request is held up
     * by a resend that finds no server other than those it was sent to, or by a request that must
     * not be sent yet. Nothing is sent before this entry has heard what the others know.
     */
    private void sendQueued(String name, long nowNanos) {
        if (catchUp.isBehind(nowNanos)) {
            return;
        }
        ServiceTraffic service = traffic.of(name);
        Optional<QueuedRequest<ForwardedRequest>> next = service.queue().first();
        while (next.isPresent()) {
            QueuedRequest<ForwardedRequest> current = next.get();
            if (!sendOrPass(name, service, current, nowNanos)) {
                return;
            }
            next = service.queue().after(current);
        }
    }

    /** Returns whether those behind a request have their turn. */
    private boolean sendOrPass(
            String name,
            ServiceTraffic service,
            QueuedRequest<ForwardedRequest> queued,
            long nowNanos) {
        ForwardedRequest request = queued.request();
        try {
            boolean mayBePassed =
                    service.awaitsServers(queued, nowNanos)
                            || request.sends() > 0
                            || crashGuard.awaitsPermit(request, nowNanos);
            return trySend(name, service, queued, nowNanos) || mayBePassed;
        } catch (RuntimeException | Error e) {
            request.onStepFailed(e);
            return true;
        }
    }

    private boolean trySend(
            String name,
            ServiceTraffic service,
            QueuedRequest<ForwardedRequest> queued,
            long nowNanos) {
        ServingView current = view.get();
        ForwardedRequest request = queued.request();
        if (problems.refuseIfBlocked(request, nowNanos)) {
            return true;
        }
        if (crashGuard.awaitsPermit(request, nowNanos) || service.awaitsServers(queued, nowNanos)) {
            return false;
        }
        boolean resend = request.sends() > 0;
        if (!resend && !service.admits(current)) {
            return false;
        }
        Optional<ServerInstance> server = servers.choose(current, name, request, nowNanos);
        int entries = current.liveEntries();
        if (server.isEmpty() || !retries.count(request, service.retryBudget(), entries, nowNanos)) {
            return false;
        }
        service.queue().remove(request);
        service.onSent();
        inFlight.put(request, server.get());
        servers.onSent(server.get(), nowNanos);
        request.send(server.get(), connections, nowNanos);
        return true;
    }

    /** Records the time between two events of a stream. */
    void onEventGap(ForwardedRequest request, long gapNanos, long nowNanos) {
        String name = request.context().service();
        ServiceTraffic service = traffic.of(name);
        service.progress().onProgress(nowNanos);
        boolean onOneServer = nowNanos - gapNanos - request.sentNanos() >= 0;
        if (onOneServer && request.server() != null) {
            servers.onEvent(request.server(), gapNanos / 1e6, nowNanos);
        }
        service.onGap(view.get(), gapNanos / 1e6, (double) request.route().gapObjectiveMs());
    }

    /** Answers or queues a request that was not written to the server chosen for it. */
    void onWithheld(ForwardedRequest request, ServerInstance server, long nowNanos) {
        releaseServer(request, nowNanos);
        if (!problems.refuseIfBlocked(request, nowNanos)) {
            long waitMs = QueueTimeouts.maxQueueMs(request.timeLeftMs(nowNanos));
            enqueue(request, request.context().priority(), true, waitMs, nowNanos);
        }
        sendQueued(request.context().service(), nowNanos);
    }

    /** Resends a request after a failed send, or answers it. */
    void onSendFailed(
            ForwardedRequest request,
            ServerInstance server,
            SendOutcome outcome,
            String cause,
            long nowNanos) {
        if (server != null) {
            servers.onFailed(server, outcome, nowNanos);
            crashGuard
                    .detector()
                    .onSendFailed(request, server, outcome, inFlight.keySet(), nowNanos);
        }
        releaseServer(request, nowNanos);
        ServiceTraffic service = traffic.of(request.context().service());
        if (outcome == SendOutcome.NOT_RUN) {
            service.progress().onRefused(nowNanos);
        }
        boolean resend =
                mayResend(request, outcome, request.mayHaveRun(), nowNanos)
                        && retries.reserve(
                                request, service.retryBudget(), view.get().liveEntries(), nowNanos);
        String decision = request.mayHaveRun() ? "FAIL" : "REFUSE";
        log.sendFailed(request, server, outcome, cause, resend ? "RESEND" : decision);
        if (resend) {
            long waitMs = Math.min(RESEND_QUEUE_TIMEOUT_MS, request.timeLeftMs(nowNanos));
            enqueue(request, RESEND_PRIORITY, true, waitMs, nowNanos);
        } else {
            answerWithProblem(request, "send_failed", nowNanos);
        }
        sendQueued(request.context().service(), nowNanos);
    }

    private boolean mayResend(
            ForwardedRequest request, SendOutcome outcome, boolean mayHaveRun, long nowNanos) {
        ResendPolicy.Decision decision =
                ResendPolicy.decide(
                        request.route(),
                        outcome,
                        request.sends(),
                        mayHaveRun,
                        request.timeLeftMs(nowNanos));
        return decision == ResendPolicy.Decision.RESEND
                && (!outcome.hasAnswer() || BackendServers.hasUntried(view.get(), request))
                && !stopPolicy.isTooLate(request.route(), nowNanos)
                && !crashGuard.verdict(request, nowNanos).isRefused();
    }

    private void releaseServer(ForwardedRequest request, long nowNanos) {
        ServerInstance server = inFlight.remove(request);
        if (server != null) {
            traffic.of(request.context().service()).onEnded(nowNanos);
            servers.onEnded(server);
        }
    }

    /** Answers a request that is not sent again: as its last server did, or else with an error. */
    private void answerWithProblem(ForwardedRequest request, String reason, long nowNanos) {
        if (request.answer().isKept() && !request.reply().isBegun()) {
            request.forwardLastAnswer();
        } else {
            problems.answer(request, traffic.of(request.context().service()), reason, nowNanos);
        }
    }

    /** Removes a request that has its final answer or whose caller has disconnected. */
    void onDone(ForwardedRequest request, boolean answered, long nowNanos) {
        String name = request.context().service();
        traffic.of(name).queue().remove(request);
        retries.release(request, traffic.of(name).retryBudget());
        ServerInstance server = request.server();
        if (server != null) {
            if (answered) {
                crashGuard.onAnswered(request, nowNanos);
                crashGuard.detector().onAnswered(server, request.sentNanos());
                servers.onAnswered(server);
                long timeMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - request.sentNanos());
                stopPolicy.onAnswered(request.route(), timeMs);
                traffic.of(name).progress().onProgress(nowNanos);
            } else {
                crashGuard.detector().onAbandoned(request, server, nowNanos);
            }
            releaseServer(request, nowNanos);
            sendQueued(name, nowNanos);
        }
    }

    /** Gives back all that a request still holds of which a step has failed. */
    void abandon(ForwardedRequest request, long nowNanos) {
        ServiceTraffic service = traffic.of(request.context().service());
        service.queue().remove(request);
        retries.release(request, service.retryBudget());
        releaseServer(request, nowNanos);
    }

    /**
     * Refuses requests with an expired queue timeout, ends those past their deadline, sends others.
     */
    void tick(long nowNanos) {
        GuardedSteps.forEach(
                traffic.services(), service -> tickQueue(service, nowNanos), onFailure);
        for (ForwardedRequest request : Set.copyOf(inFlight.keySet())) {
            request.guard(() -> checkTimeouts(request, nowNanos));
        }
    }

    private void tickQueue(String name, long nowNanos) {
        ServiceTraffic service = traffic.of(name);
        service.retryBudget().onEntries(view.get().liveEntries(), nowNanos);
        List<QueuedRequest<ForwardedRequest>> overdue =
                service.removeOverdue(r -> crashGuard.awaitsPermit(r, nowNanos), nowNanos);
        answerAll(overdue, "no_free_server", nowNanos);
        List<QueuedRequest<ForwardedRequest>> tooLate =
                service.queue()
                        .removeIf(request -> stopPolicy.isTooLate(request.route(), nowNanos));
        answerAll(tooLate, ProblemAnswers.STOPPING, nowNanos);
        sendQueued(name, nowNanos);
    }

    private void answerAll(
            List<QueuedRequest<ForwardedRequest>> removed, String reason, long nowNanos) {
        for (QueuedRequest<ForwardedRequest> queued : removed) {
            ForwardedRequest request = queued.request();
            request.guard(() -> answerWithProblem(request, reason, nowNanos));
        }
    }

    /** Hears that the process stops, and when it cuts what is still in progress. */
    void onStop(long endNanos) {
        stopPolicy.onStop(endNanos);
    }

    /** Answers all requests that have no answer, since the process ends. */
    void endAll(long nowNanos) {
        for (String name : traffic.services()) {
            answerAll(
                    traffic.of(name).queue().removeIf(r -> true),
                    ProblemAnswers.STOPPING,
                    nowNanos);
        }
        for (ForwardedRequest request : Set.copyOf(inFlight.keySet())) {
            request.guard(() -> endSent(request, ProblemAnswers.STOPPING, nowNanos));
        }
    }

    /** Answers a request that may be on a server. */
    private void endSent(ForwardedRequest request, String reason, long nowNanos) {
        if (request.sends() > 0) {
            request.markMayHaveRun();
        }
        answerWithProblem(request, reason, nowNanos);
    }

    private void checkTimeouts(ForwardedRequest request, long nowNanos) {
        if (request.isDone() || !inFlight.containsKey(request)) {
            return;
        }
        if (request.timeLeftMs(nowNanos) <= 0) {
            endSent(request, "timeout", nowNanos);
            return;
        }
        boolean silent =
                request.route().mayRunAgain()
                        && request.silenceMs(nowNanos)
                                > QueueTimeouts.silenceLimitMs(
                                        request.route(), settings.silenceMs());
        if (silent && leavesSilentServer(request, nowNanos)) {
            request.abandonSilentServer();
        }
    }

    /**
     * Returns whether a request leaves a silent server. The server may only be late, so one that
     * works on the request is left only if another one can go on with it.
     */
    private boolean leavesSilentServer(ForwardedRequest request, long nowNanos) {
        if (request.sends() == 0) {
            return true;
        }
        ServingView current = view.get();
        String name = request.context().service();
        return traffic.of(name).retryBudget().isAllowed(current.liveEntries(), nowNanos)
                && mayResend(request, SendOutcome.UNKNOWN, true, nowNanos)
                && servers.choose(current, name, request, nowNanos).isPresent();
    }

    /** Logs the load of each service that has requests. */
    void logState() {
        traffic.logState(log, view.get());
    }

    /** Removes the state of all servers except the given ones and those with requests in flight. */
    void retainServers(Set<String> serverIds) {
        Set<String> inUse = new HashSet<>(serverIds);
        inFlight.values().forEach(server -> inUse.add(server.id()));
        servers.retain(inUse);
        connections.retainServers(serverIds);
    }

    /** Returns the number of queued requests and requests in flight. */
    int openRequests() {
        return traffic.waiting() + inFlight.size();
    }
}
