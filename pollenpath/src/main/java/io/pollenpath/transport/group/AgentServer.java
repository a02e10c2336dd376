package io.pollenpath.transport.group;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.protocol.wire.RankCommand;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.LogLine;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Listens for the leader of the group and for would-be leaders. */
public final class AgentServer implements AutoCloseable {

    /** Path of questions. */
    static final String QUERY_PATH = "/rank/query";

    /** Path of orders. */
    static final String COMMAND_PATH = "/rank/command";

    /** Media type of both calls. */
    static final String MEDIA_TYPE = "application/x-protobuf";

    private static final Logger LOG = LoggerFactory.getLogger(AgentServer.class);
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final byte[] NO_BODY = new byte[0];

    private final RankAgent agent;
    private final HttpServer server;

    /**
     * Starts listening.
     *
     * @param loops the event loops, not null
     * @param host the IP number, not null
     * @param port the port; 0 for any free one
     * @param agent answers, not null
     */
    public AgentServer(NettyLoops loops, String host, int port, RankAgent agent) {
        this.agent = agent;
        server = new HttpServer(loops, host, port, HttpLimits.DEFAULT, this::handle);
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        try {
            answer(call).thenAccept(report -> respond(exchange, GroupMessages.encode(report)));
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("{}", LogLine.event("agent_call_unreadable").with("cause", e));
            exchange.respond(STATUS_BAD_REQUEST, MEDIA_TYPE, Map.of(), NO_BODY);
        }
    }

    private CompletableFuture<RankReport> answer(HttpCall call)
            throws InvalidProtocolBufferException {
        if (!call.path().equals(COMMAND_PATH)) {
            return agent.query(GroupMessages.decodeQuestion(call.body()));
        }
        RankCommand command = GroupMessages.decodeCommand(call.body());
        Optional<EngineCommand> order = GroupMessages.orderOf(command);
        if (order.isEmpty()) {
            throw new InvalidProtocolBufferException("the command holds no known order");
        }
        return agent.command(
                order.get(), command.getGroup(), command.getEpoch(), command.getToken());
    }

    private static void respond(HttpExchange exchange, byte[] body) {
        exchange.respond(STATUS_OK, MEDIA_TYPE, Map.of(), body);
    }

    /**
     * Returns the port on which it listens.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }
}
