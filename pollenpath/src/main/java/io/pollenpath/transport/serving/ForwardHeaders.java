package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.ClientAccount;
import io.pollenpath.state.serving.ServerInstance;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The values that the entry adds to the headers of a forwarded request.
 *
 * @param server the server that must execute the request, not null
 * @param timeLeftMs the time until the deadline of the request, in milliseconds
 * @param account the customer that sent the request; empty on public routes
 * @param lastEventId the ID of the event after which to resume a stream; empty to start at its
 *     first event
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
