package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.SendOutcome;
import io.pollenpath.coordination.serving.ServerHealth;
import io.pollenpath.coordination.serving.ServerLimits;
import io.pollenpath.coordination.serving.ServerSelector;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingView;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * What one entry knows of the backend servers that it sends to, and the choice among them. All
 * calls are made on one event loop.
 */
final class BackendServers {

    private final Map<String, ServerHealth> health = new HashMap<>();
    private final ServerLimits limits = new ServerLimits();
    private final ServerSelector selector;
    private final LimitLog limitLog;

    BackendServers(ServerSelector selector, LimitLog limitLog) {
        this.selector = selector;
        this.limitLog = limitLog;
    }

    private ServerHealth healthOf(String serverId) {
        return health.computeIfAbsent(serverId, id -> new ServerHealth());
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

    void onSent(ServerInstance server) {
        healthOf(server.id()).onSent();
    }

    void onEnded(ServerInstance server) {
        healthOf(server.id()).onEnded();
    }

    void onAnswered(ServerInstance server) {
        healthOf(server.id()).onSuccess();
    }

    void onFailed(ServerInstance server, SendOutcome outcome, long nowNanos) {
        ServerHealth serverHealth = healthOf(server.id());
        switch (outcome) {
            case NOT_SENT, UNKNOWN, OTHER_SERVER -> serverHealth.onConnectionFailure(nowNanos);
            case NOT_RUN, RUN_AND_FAILED -> serverHealth.onFailure();
        }
    }

    /** Records the limit that an answer of a server names; empty if it names none. */
    void onLimit(String serverId, String requestId, OptionalDouble perSecond) {
        OptionalDouble before = limits.limitOf(serverId);
        if (limits.onAnswer(serverId, perSecond)) {
            limitLog.changed(requestId, serverId, before, perSecond);
        }
    }

    /** Forgets all servers except the given ones. */
    void retain(Set<String> serverIds) {
        health.keySet().retainAll(serverIds);
        limits.retainServers(serverIds);
    }
}
