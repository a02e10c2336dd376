package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.state.serving.CrashSuspect;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingView;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Finds out which servers have crashed, and which requests were on them. When a connection breaks
 * under a request, it checks whether the server still listens; if not, or if another process turns
 * out to listen there, the server has crashed. All calls are made on one event loop.
 */
final class CrashDetector {

    /** How long it may take to learn that a server that still listens is another process. */
    private static final long RESTART_EVIDENCE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Map<String, Set<CrashSuspect>> checking = new HashMap<>();
    private final Map<String, BrokenServer> listening = new HashMap<>();
    private final AbandonedRequests abandoned = new AbandonedRequests();
    private final BackendConnectionPool connections;
    private final CrashLog log;
    private final Listener listener;
    private ServingView view = ServingView.EMPTY;

    /** Receives the crashes. */
    interface Listener {

        /**
         * Handles the crash of a server.
         *
         * @param suspects the requests that were on it
         * @param nanos the time of the crash, in nanoseconds
         */
        void onCrash(ServerInstance server, Set<CrashSuspect> suspects, long nanos);
    }

    /**
     * A server whose connection broke.
     *
     * @param suspects the requests that were on it
     * @param nanos the time, in nanoseconds
     */
    private record BrokenServer(ServerInstance server, Set<CrashSuspect> suspects, long nanos) {}

    CrashDetector(BackendConnectionPool connections, CrashLog log, Listener listener) {
        this.connections = connections;
        this.log = log;
        this.listener = listener;
    }

    /** Returns whether a server is being checked. */
    boolean isChecking() {
        return !checking.isEmpty();
    }

    /** Returns the number of servers that are being checked because of a suspect. */
    int unconfirmedCrashes(CrashSuspect suspect) {
        return (int) checking.values().stream().filter(set -> set.contains(suspect)).count();
    }

    /**
     * Draws the conclusions from a send that failed.
     *
     * @param failed the request
     * @param inFlight all requests in flight, on any server
     */
    void onSendFailed(
            ForwardedRequest failed,
            ServerInstance server,
            SendOutcome outcome,
            Collection<ForwardedRequest> inFlight,
            long nowNanos) {
        switch (outcome) {
            case UNKNOWN, SPOILT -> onConnectionBroken(failed, server, inFlight, nowNanos);
            case NOT_SENT -> onConnectFailed(server, nowNanos);
            case OTHER_SERVER -> onReplaced(server, nowNanos);
            case NOT_RUN, RUN_AND_FAILED, DOUBTFUL -> onAnswered(server, failed.sentNanos());
        }
    }

    private void onConnectionBroken(
            ForwardedRequest failed,
            ServerInstance server,
            Collection<ForwardedRequest> inFlight,
            long nowNanos) {
        if (!isInUse(server)) {
            return;
        }
        Set<CrashSuspect> suspects = abandoned.on(server, nowNanos);
        suspects.addAll(failed.suspectsOfCrash());
        inFlight.stream()
                .filter(request -> request.isSentTo(server))
                .forEach(request -> suspects.addAll(request.suspectsOfCrash()));
        check(server, suspects, nowNanos);
    }

    /** Returns false for a server that has announced its end, which is no crash. */
    private boolean isInUse(ServerInstance server) {
        return view.isReplaced(server)
                || view.serversOf(server.service()).stream()
                        .anyMatch(known -> known.id().equals(server.id()));
    }

    private void onConnectFailed(ServerInstance server, long nowNanos) {
        Set<CrashSuspect> suspects = abandoned.on(server, nowNanos);
        if (!suspects.isEmpty()) {
            check(server, suspects, nowNanos);
        }
    }

    /** Records that a request was given up while a server may have been at work on it. */
    void onAbandoned(ForwardedRequest request, ServerInstance server, long nowNanos) {
        if (isInUse(server) && request.triedServerIds().contains(server.id())) {
            request.suspectsOfCrash().forEach(suspect -> abandoned.add(server, suspect, nowNanos));
        }
    }

    /** Reports the requests that this entry gave up on servers whose crash others saw. */
    void reportAbandoned(Predicate<String> hasCrashed, long nowNanos) {
        for (ServerInstance server : abandoned.servers(nowNanos)) {
            if (hasCrashed.test(server.incarnationId())) {
                listener.onCrash(server, abandoned.on(server, nowNanos), nowNanos);
            }
        }
    }

    private void check(ServerInstance server, Set<CrashSuspect> suspects, long nowNanos) {
        Set<CrashSuspect> inProgress = checking.get(server.incarnationId());
        if (inProgress != null) {
            inProgress.addAll(suspects);
            return;
        }
        checking.put(server.incarnationId(), suspects);
        connections.check(server, result -> onChecked(server, result, nowNanos));
    }

    private void onChecked(ServerInstance server, Reachability result, long brokenNanos) {
        Set<CrashSuspect> suspects = checking.remove(server.incarnationId());
        log.checked(server, result, suspects);
        BrokenServer broken = new BrokenServer(server, suspects, brokenNanos);
        switch (result) {
            case REFUSED -> report(broken);
            case LISTENING -> {
                listening.put(server.incarnationId(), broken);
                onView(view, System.nanoTime());
            }
            case UNREACHABLE -> {}
        }
    }

    private void report(BrokenServer broken) {
        listener.onCrash(broken.server(), broken.suspects(), broken.nanos());
    }

    /** Records that another process listens at the address of a server. */
    private void onReplaced(ServerInstance server, long nowNanos) {
        BrokenServer broken = listening.remove(server.incarnationId());
        Set<CrashSuspect> suspects = abandoned.on(server, nowNanos);
        if (broken != null) {
            suspects.addAll(broken.suspects());
        }
        if (!suspects.isEmpty()) {
            log.restarted(server, suspects);
            long brokenNanos = broken == null ? nowNanos : broken.nanos();
            report(new BrokenServer(server, suspects, brokenNanos));
        }
    }

    /** Looks for servers that have been replaced since a request was on them. */
    void onView(ServingView newView, long nowNanos) {
        view = newView;
        List<ServerInstance> servers = new ArrayList<>(abandoned.servers(nowNanos));
        listening.values().forEach(broken -> servers.add(broken.server()));
        servers.stream().filter(view::isReplaced).forEach(server -> onReplaced(server, nowNanos));
    }

    /**
     * Records that a server has answered, so the process that a connection broke to is running.
     *
     * @param sentNanos the time at which the answered request was sent
     */
    void onAnswered(ServerInstance server, long sentNanos) {
        BrokenServer broken = listening.get(server.incarnationId());
        if (broken != null && sentNanos - broken.nanos() > 0) {
            listening.remove(server.incarnationId());
        }
    }

    /** Forgets what is too old. */
    void expire(long nowNanos) {
        abandoned.expire(nowNanos);
        listening.values().removeIf(broken -> nowNanos - broken.nanos() > RESTART_EVIDENCE_NANOS);
    }
}
