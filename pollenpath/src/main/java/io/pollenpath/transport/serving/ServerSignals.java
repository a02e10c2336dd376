package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;

/** Reads what servers say of themselves in the heads of their answers. */
final class ServerSignals {

    private final WireDialect dialect;
    private final BackendServers servers;
    private final LimitLog log;

    /**
     * Creates a reader.
     *
     * @param dialect the meaning of headers, not null
     * @param servers hears what servers say, not null
     * @param log records what can't be read, not null
     */
    ServerSignals(WireDialect dialect, BackendServers servers, LimitLog log) {
        this.dialect = dialect;
        this.servers = servers;
        this.log = log;
    }

    /** Hears what the server of a request says in the head of its answer. */
    void onAnswerHead(ForwardedRequest request, int status, HttpHeaders headers, long nowNanos) {
        String serverId = request.server().id();
        String requestId = request.context().callerHeaders().requestId();
        if (dialect.isLeaving(headers)) {
            servers.onLeaving(request.server(), requestId);
        }
        try {
            servers.onLimit(serverId, requestId, dialect.serverLimitPerSecond(headers), nowNanos);
            dialect.pauseMs(status, headers)
                    .ifPresent(pauseMs -> servers.onPause(serverId, requestId, pauseMs, nowNanos));
        } catch (NumberFormatException e) {
            log.unreadable(requestId, serverId, e);
        }
    }
}
