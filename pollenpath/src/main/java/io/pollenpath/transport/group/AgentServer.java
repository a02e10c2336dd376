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

/**
 * Serves the agent of one rank over HTTP to the other agents: the leader of its group, and agents
 * that check for a leader before they claim leadership.
 */
public final class AgentServer implements AutoCloseable {

    /** Path of status queries. */
    static final String QUERY_PATH = "/rank/query";

    /** Path of commands. */
    static final String COMMAND_PATH = "/rank/command";

    /** Media type of the requests and responses on both paths. */
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
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free one
     * @param agent the agent that answers the calls, not null
     */
    public AgentServer(NettyLoops loops, String host, int port, RankAgent agent) {
        this.agent = agent;
        server = new HttpServer(loops, host, port, HttpLimits.DEFAULT, this::handle);
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        try {
            answer(agent, call.path(), call.body())
                    .thenAccept(report -> respond(exchange, GroupMessages.encode(report)));
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("{}", LogLine.event("agent_call_unreadable").with("cause", e));
            exchange.respond(STATUS_BAD_REQUEST, MEDIA_TYPE, Map.of(), NO_BODY);
        }
    }

    /** Decodes a call and passes it to the agent. */
    static CompletableFuture<RankReport> answer(RankAgent agent, String path, byte[] body)
            throws InvalidProtocolBufferException {
        if (!path.equals(COMMAND_PATH)) {
            return agent.query(GroupMessages.decodeQuery(body));
        }
        RankCommand message = GroupMessages.decodeCommand(body);
        Optional<EngineCommand> command = GroupMessages.toEngineCommand(message, agent.knownMaps());
        return command.isPresent()
                ? agent.command(
                        command.get(), message.getGroup(), message.getEpoch(), message.getToken())
                : agent.rejectUnknownBase(message.getGroup(), message.getToken());
    }

    private static void respond(HttpExchange exchange, byte[] body) {
        exchange.respond(STATUS_OK, MEDIA_TYPE, Map.of(), body);
    }

    /**
     * Returns the port on which the server listens.
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
