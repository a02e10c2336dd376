package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.ClientAccount;
import io.pollenpath.state.serving.ServerInstance;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what the entry tells a backend server about a request.
 *
 * @param server the server that shall run it, not null
 * @param timeLeftMs the time until nobody waits for the answer, in milliseconds
 * @param account the customer that sent it, empty on public routes
 * @param lastEventId the event after which a stream goes on
 */
public record ForwardHeaders(
        ServerInstance server,
        long timeLeftMs,
        Optional<ClientAccount> account,
        OptionalLong lastEventId) {

    /** Checks the components. */
    public ForwardHeaders {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
