package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.CrashSuspect;
import io.pollenpath.state.serving.ServerInstance;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The requests that were given up a short time ago while a server was at work on them. The server
 * may still be at work, so they may have ended it.
 */
final class AbandonedRequests {

    /** How long a server may work on a request after its connection was closed. */
    private static final long WORK_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Abandoned> byServer = new HashMap<>();

    private record Abandoned(ServerInstance server, Map<CrashSuspect, Long> nanos) {}

    void add(ServerInstance server, CrashSuspect suspect, long nowNanos) {
        byServer.computeIfAbsent(
                        server.incarnationId(), id -> new Abandoned(server, new HashMap<>()))
                .nanos()
                .put(suspect, nowNanos);
    }

    /** Returns the requests that a server may still be at work on, as a set of the caller's own. */
    Set<CrashSuspect> on(ServerInstance server, long nowNanos) {
        expire(nowNanos);
        Abandoned abandoned = byServer.get(server.incarnationId());
        return abandoned == null ? new HashSet<>() : new HashSet<>(abandoned.nanos().keySet());
    }

    /** Returns the servers that may still be at work on abandoned requests. */
    List<ServerInstance> servers(long nowNanos) {
        expire(nowNanos);
        return byServer.values().stream().map(Abandoned::server).toList();
    }

    /** Forgets requests that no server is at work on any more. */
    void expire(long nowNanos) {
        for (Abandoned abandoned : byServer.values()) {
            abandoned.nanos().values().removeIf(nanos -> nowNanos - nanos > WORK_NANOS);
        }
        byServer.values().removeIf(abandoned -> abandoned.nanos().isEmpty());
    }
}
