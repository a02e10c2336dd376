package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.RequestFingerprint;
import io.pollenpath.state.serving.ServerInstance;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks whether a server still listens after a connection broke under a request. All calls are
 * made on one event loop.
 */
final class CrashGuard {

    private final Map<String, Set<RequestFingerprint>> checking = new HashMap<>();
    private final BackendConnectionPool connections;
    private final CrashLog log;

    CrashGuard(BackendConnectionPool connections, CrashLog log) {
        this.connections = connections;
        this.log = log;
    }

    /**
     * Checks a server after a connection broke.
     *
     * @param broken the request on that connection
     * @param others the other requests in flight on the server
     */
    void onConnectionBroken(
            ServerInstance server, ForwardedRequest broken, Collection<ForwardedRequest> others) {
        Set<RequestFingerprint> suspects = checking.get(server.incarnationId());
        boolean checkInProgress = suspects != null;
        if (!checkInProgress) {
            suspects = new HashSet<>();
            checking.put(server.incarnationId(), suspects);
        }
        suspects.add(broken.fingerprint());
        for (ForwardedRequest request : others) {
            suspects.add(request.fingerprint());
        }
        if (!checkInProgress) {
            connections.check(server, result -> onChecked(server, result));
        }
    }

    private void onChecked(ServerInstance server, Reachability result) {
        Set<RequestFingerprint> suspects = checking.remove(server.incarnationId());
        log.checked(server, result, suspects);
    }
}
