package io.pollenpath.transport.group;

import io.pollenpath.transport.HttpAddress;
import java.util.concurrent.CompletableFuture;

/** Sends calls to the agents of rank groups. */
public interface AgentTransport {

    /**
     * Calls an agent.
     *
     * @param agent the address of the agent, not null
     * @param path the path of the call, not null
     * @param body the encoded message, not null
     * @param timeoutMs the timeout of the call, in milliseconds, above 0
     * @return the encoded answer; the future fails if there is none in time
     */
    CompletableFuture<byte[]> call(HttpAddress agent, String path, byte[] body, long timeoutMs);
}
