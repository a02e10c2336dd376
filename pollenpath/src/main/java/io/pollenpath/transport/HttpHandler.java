package io.pollenpath.transport;

/** Handles the requests of an HTTP server. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles a request. This runs on the event loop of the connection and must not block; the
     * answer may be sent later and from another thread.
     *
     * @param call the request
     * @param exchange sends the answer
     */
    void handle(HttpCall call, HttpExchange exchange);
}
