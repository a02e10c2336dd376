package io.pollenpath.transport.group;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/** Calls the agent of one rank, or its engine itself while the agent does not answer. */
final class RankPeer {

    private static final long COMMAND_TIMEOUT_MS = 200;
    private static final long[] NO_COUNTS = new long[0];

    private final HttpClient http;
    private final AgentAddress address;
    private final Optional<EngineControl> direct;
    private volatile boolean agentSilent;

    /**
     * Creates a peer.
     *
     * @param http sends the calls
     * @param address the agent
     * @param direct the engine; empty if engines do not refuse orders with an old token, since then
     *     only the agent keeps them out
     */
    RankPeer(HttpClient http, AgentAddress address, Optional<EngineControl> direct) {
        this.http = http;
        this.address = address;
        this.direct = direct;
    }

    /** Returns where the engine takes orders. */
    HttpAddress engine() {
        return address.engine();
    }

    /** Tells whether the agent left the last call unanswered and its engine may be asked. */
    boolean asksEngine() {
        return agentSilent && direct.isPresent();
    }

    /** Asks the agent; fails if it does not answer in time. */
    CompletableFuture<RankReport> query(RankQuestion question, long timeoutMs) {
        return call(AgentServer.QUERY_PATH, GroupMessages.encode(question), timeoutMs)
                .whenComplete((report, failure) -> agentSilent = failure != null);
    }

    /** Sends an order; never fails. */
    CompletableFuture<RankReport> command(
            EngineCommand order, String group, long epoch, long token) {
        if (asksEngine()) {
            return direct.orElseThrow().send(order, epoch, token).thenApply(RankPeer::withoutState);
        }
        byte[] body = GroupMessages.encode(order, group, epoch, token);
        return call(AgentServer.COMMAND_PATH, body, COMMAND_TIMEOUT_MS)
                .handle(
                        (report, failure) -> {
                            agentSilent = failure != null;
                            return failure == null ? report : withoutState(CommandResult.UNKNOWN);
                        });
    }

    /** Asks the engine itself, whose answer lags; fails if that is not possible. */
    CompletableFuture<RankReport> queryEngine() {
        if (direct.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("engines without fences are asked by agents only"));
        }
        return direct.get()
                .status()
                .thenApply(
                        status ->
                                new RankReport(
                                        Optional.empty(),
                                        Optional.of(status),
                                        NO_COUNTS,
                                        List.of(),
                                        0,
                                        0));
    }

    private static RankReport withoutState(CommandResult outcome) {
        return new RankReport(Optional.of(outcome), Optional.empty(), NO_COUNTS, List.of(), 0, 0);
    }

    private CompletableFuture<RankReport> call(String path, byte[] body, long timeoutMs) {
        return http.send(
                        new HttpClient.Request(
                                address.agent(),
                                "POST",
                                path,
                                Map.of("Content-Type", AgentServer.MEDIA_TYPE),
                                body))
                .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .thenApply(RankPeer::decode);
    }

    private static RankReport decode(HttpReply reply) {
        try {
            return GroupMessages.decodeReport(reply.body());
        } catch (InvalidProtocolBufferException e) {
            throw new CompletionException(e);
        }
    }
}
