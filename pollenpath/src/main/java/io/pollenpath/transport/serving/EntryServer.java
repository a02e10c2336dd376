package io.pollenpath.transport.serving;

import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import java.util.Map;

/** Receives the calls of other entries, and of the agents beside servers. */
public final class EntryServer implements AutoCloseable {

    /** Path of the exchange of what entries know. */
    static final String PATH = "/entry/knowledge";

    /** Media type of requests and responses. */
    static final String MEDIA_TYPE = "application/x-protobuf";

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int MAX_MESSAGE_BYTES = 4_194_304;
    private static final byte[] NO_BODY = new byte[0];

    private final Gateway gateway;
    private final HttpServer server;

    /**
     * Starts listening.
     *
     * @param loops the event loops, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free one
     * @param gateway the gateway of this entry, not null
     * @throws IllegalStateException if the address can't be bound
     */
    public EntryServer(NettyLoops loops, String host, int port, Gateway gateway) {
        this.gateway = gateway;
        server =
                new HttpServer(
                        loops,
                        host,
                        port,
                        HttpLimits.DEFAULT.withMaxBodyBytes(MAX_MESSAGE_BYTES),
                        this::handle);
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        gateway.exchange(call.body())
                .thenAccept(
                        reply ->
                                exchange.respond(
                                        reply.isPresent() ? STATUS_OK : STATUS_BAD_REQUEST,
                                        MEDIA_TYPE,
                                        Map.of(),
                                        reply.orElse(NO_BODY)));
    }

    @Override
    public void close() {
        server.close();
    }
}
