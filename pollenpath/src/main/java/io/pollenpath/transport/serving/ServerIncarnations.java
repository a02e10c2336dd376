package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.ServerInstance;
import java.util.concurrent.CompletableFuture;

/** Tells which process runs as a server now. */
@FunctionalInterface
public interface ServerIncarnations {

    /**
     * Asks the process that listens at the address of a server.
     *
     * @param server the server, not null
     * @return the incarnation of that process; completes exceptionally if it tells none in time
     */
    CompletableFuture<Long> running(ServerInstance server);
}
