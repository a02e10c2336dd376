package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.state.serving.ClientAccount;
import io.pollenpath.state.serving.Route;
import java.util.Optional;

/**
 * Holds what is fixed about a request once it was accepted.
 *
 * @param method the method
 * @param uri the path with its query
 * @param headers the headers that are passed on, as the caller sent them
 * @param body the whole body
 * @param facts what the caller says
 * @param route the route
 * @param service the service that serves it
 * @param account the customer; empty on public routes
 * @param configVersion the version of the configuration that decided
 * @param arrivedNanos when its last byte was read
 * @param deadlineNanos when its caller or its route gives up
 */
record RequestContext(
        String method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        CallerHeaders facts,
        Route route,
        String service,
        Optional<ClientAccount> account,
        long configVersion,
        long arrivedNanos,
        long deadlineNanos) {

    int priority() {
        return account.map(known -> known.priorityOn(route)).orElse(route.priority());
    }
}
