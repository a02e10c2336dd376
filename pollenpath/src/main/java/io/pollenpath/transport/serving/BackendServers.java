package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.LimitReport;
import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.coordination.serving.ServerHealth;
import io.pollenpath.coordination.serving.ServerLimits;
import io.pollenpath.coordination.serving.ServerSelector;
import io.pollenpath.coordination.serving.ServerSlowdowns;
import io.pollenpath.coordination.serving.SlowdownReport;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingView;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * What one entry knows of the backend servers that it sends to, and the choice among them. All
 * calls are made on one event loop.
 */
final class BackendServers {

    /** The number of servers that said that they leave and are remembered after their end. */
    private static final int MAX_LEAVING_SERVERS = 1_000;

    private final Map<String, ServerHealth> health = new HashMap<>();

    /** The incarnations that said that they leave, by the identity of the server. */
    private final Map<String, Long> leavingIncarnations = new LinkedHashMap<>();

    private final ServerLimits limits;
    private final ServerSlowdowns slowdowns;
    private final ServerSelector selector;
    private final LimitLog limitLog;
    private Runnable onLimitChange = () -> {};

    BackendServers(
            ServerLimits limits,
            ServerSlowdowns slowdowns,
            ServerSelector selector,
            LimitLog limitLog) {
        this.limits = limits;
        this.slowdowns = slowdowns;
        this.selector = selector;
        this.limitLog = limitLog;
    }

    /** Sets what to do after this entry has learned a limit that other entries should know. */
    void setOnLimitChange(Runnable newOnLimitChange) {
        onLimitChange = newOnLimitChange;
    }

    private ServerHealth healthOf(String serverId) {
        return health.computeIfAbsent(serverId, this::newHealth);
    }

    private ServerHealth newHealth(String serverId) {
        ServerHealth created = new ServerHealth();
        Long leaving = leavingIncarnations.get(serverId);
        if (leaving != null) {
            created.onLeaving(leaving);
        }
        return created;
    }

    /** Chooses the server for one send of a request; empty if none can take it now. */
    Optional<ServerInstance> choose(
            ServingView view, String service, ForwardedRequest request, long nowNanos) {
        boolean resend = request.sends() > 0;
        return selector.choose(
                view.serversOf(service),
                view.outdated(),
                this::healthOf,
                request.triedServerIds(),
                !resend,
                nowNanos);
    }

    /**
     * Returns how long a further request waits, if all servers of a service limit what they take or
     * want no requests.
     *
     * @param queued the number of requests that wait already
     * @return the time, in milliseconds; 0 if a server has no limit
     */
    double limitedWaitMs(ServingView view, String service, int queued, long nowNanos) {
        List<String> ids = view.serversOf(service).stream().map(ServerInstance::id).toList();
        return Math.max(limits.expectedWaitMs(ids, queued, nowNanos), pausedMs(ids, nowNanos));
    }

    /** Returns how long all servers want no requests; 0 if one takes them. */
    private double pausedMs(List<String> ids, long nowNanos) {
        return ids.stream().mapToLong(id -> healthOf(id).pauseNanos(nowNanos)).min().stream()
                .mapToDouble(nanos -> nanos / 1e6)
                .findFirst()
                .orElse(0);
    }

    void onSent(ServerInstance server, long nowNanos) {
        limits.onSent(server.id(), nowNanos);
        healthOf(server.id()).onSent(nowNanos);
    }

    /** Records an event of a stream and the gap before it. */
    void onEvent(ServerInstance server, double gapMs, long nowNanos) {
        healthOf(server.id()).onEvent(gapMs, nowNanos);
    }

    void onEnded(ServerInstance server) {
        healthOf(server.id()).onEnded();
    }

    /** Returns whether a request has not been sent to each server of its service yet. */
    static boolean hasUntried(ServingView view, ForwardedRequest request) {
        return view.serversOf(request.context().service()).stream()
                .anyMatch(server -> !request.triedServerIds().contains(server.id()));
    }

    void onAnswered(ServerInstance server) {
        healthOf(server.id()).onSuccess();
    }

    void onFailed(ServerInstance server, SendOutcome outcome, long nowNanos) {
        ServerHealth serverHealth = healthOf(server.id());
        switch (outcome) {
            case NOT_SENT, UNKNOWN, SPOILT, OTHER_SERVER ->
                    serverHealth.onConnectionFailure(nowNanos);
            case NOT_RUN, RUN_AND_FAILED -> serverHealth.onFailure(nowNanos);
            case DOUBTFUL -> serverHealth.onSuccess();
        }
    }

    /** Records the limit that an answer of a server names; empty if it names none. */
    void onLimit(String serverId, String requestId, OptionalDouble perSecond, long nowNanos) {
        OptionalDouble before = limits.limitOf(serverId);
        if (limits.onAnswer(serverId, perSecond, nowNanos)) {
            limitLog.changed(requestId, serverId, before, perSecond);
            onLimitChange.run();
        }
    }

    /**
     * Records that a server has said that it leaves. It gets no new requests until it has started
     * again.
     */
    void onLeaving(ServerInstance server, String requestId) {
        Long before = leavingIncarnations.put(server.id(), server.incarnation());
        if (before == null || before != server.incarnation()) {
            limitLog.leaving(requestId, server.id());
        }
        if (leavingIncarnations.size() > MAX_LEAVING_SERVERS) {
            leavingIncarnations.remove(leavingIncarnations.keySet().iterator().next());
        }
        healthOf(server.id()).onLeaving(server.incarnation());
    }

    /** Records that a server has said that it wants no requests for a while. */
    void onPause(String serverId, String requestId, long pauseMs, long nowNanos) {
        limitLog.paused(requestId, serverId, pauseMs);
        healthOf(serverId).onPause(pauseMs, nowNanos);
    }

    /** Merges the limits that another entry knows. */
    void merge(List<LimitReport> reports, long nowNanos) {
        limits.merge(reports, nowNanos);
    }

    /** Records how slow servers are. */
    void onSlowdowns(List<SlowdownReport> reports, long nowNanos) {
        reports.forEach(report -> slowdowns.onReport(report, nowNanos));
    }

    /** Returns the limits that this entry knows. */
    List<LimitReport> limits(long nowNanos) {
        return limits.report(nowNanos);
    }

    /** Replaces the names of the entries that share limits. */
    void setEntries(List<String> names) {
        limits.setEntries(names);
    }

    /** Forgets all servers except the given ones. */
    void retain(Set<String> serverIds) {
        health.keySet().retainAll(serverIds);
        limits.retainServers(serverIds);
    }
}
