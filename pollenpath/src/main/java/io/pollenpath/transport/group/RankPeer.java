package io.pollenpath.transport.group;

import com.google.protobuf.InvalidProtocolBufferException;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.transport.HttpAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;

/** Calls the agent of one rank, or its engine directly while the agent does not answer. */
final class RankPeer {

    /** Calls in a row without an answer after which the agent counts as unreachable. */
    private static final int MAX_UNANSWERED_CALLS = 3;

    private static final long[] NO_COUNTS = new long[0];

    private final AgentTransport transport;
    private final AgentAddress address;
    private final Optional<EngineControl> directEngine;
    private final AtomicInteger unansweredCalls = new AtomicInteger();

    /**
     * Creates a peer.
     *
     * @param transport sends the calls to the agent
     * @param address the addresses of the agent and its engine
     * @param directEngine the client of the engine; empty if engines do not reject commands with an
     *     outdated fencing token, since then only the agent rejects them
     */
    RankPeer(AgentTransport transport, AgentAddress address, Optional<EngineControl> directEngine) {
        this.transport = transport;
        this.address = address;
        this.directEngine = directEngine;
    }

    /** Returns the address at which the engine receives commands. */
    HttpAddress engine() {
        return address.engine();
    }

    /**
     * Returns whether the agent is unreachable and its engine may be called directly. One call
     * without an answer does not tell a lost call from an agent that is gone.
     */
    boolean canQueryEngine() {
        return unansweredCalls.get() >= MAX_UNANSWERED_CALLS && directEngine.isPresent();
    }

    /**
     * Returns whether a command goes to the engine past its agent. A step is held so, since a
     * process that passed the command on might stop right after it, with the step held. It is
     * released so once the agent has missed a call, since the whole group waits for the release.
     */
    boolean sendsPastAgent(EngineCommand command) {
        boolean holds = command instanceof EngineCommand.Hold;
        boolean releasesInVain =
                command instanceof EngineCommand.Release && unansweredCalls.get() > 0;
        return canQueryEngine() || (directEngine.isPresent() && (holds || releasesInVain));
    }

    /** Queries the agent; the future fails if it does not answer in time. */
    CompletableFuture<RankReport> query(RankStatusQuery query, long timeoutMs) {
        return call(AgentServer.QUERY_PATH, GroupMessages.encode(query), timeoutMs);
    }

    /**
     * Sends a command; the future never fails.
     *
     * @param body the message to the agent with the same command, epoch and token
     * @param timeoutMs the timeout of a call to the agent, in milliseconds
     */
    CompletableFuture<RankReport> command(
            EngineCommand command, byte[] body, long epoch, long token, long timeoutMs) {
        if (sendsPastAgent(command)) {
            return directEngine
                    .orElseThrow()
                    .send(command, epoch, token)
                    .thenApply(RankPeer::withoutState);
        }
        return call(AgentServer.COMMAND_PATH, body, timeoutMs)
                .handle(
                        (report, failure) ->
                                failure == null ? report : withoutState(CommandResult.UNKNOWN));
    }

    /**
     * Queries the engine directly, whose state may be outdated; the future fails if that is
     * impossible.
     */
    CompletableFuture<RankReport> queryEngine() {
        if (directEngine.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(
                            "engines that do not check fencing tokens are called by agents only"));
        }
        return directEngine
                .get()
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

    private static RankReport withoutState(CommandResult result) {
        return new RankReport(Optional.of(result), Optional.empty(), NO_COUNTS, List.of(), 0, 0);
    }

    private CompletableFuture<RankReport> call(String path, byte[] body, long timeoutMs) {
        return transport
                .call(address.agent(), path, body, timeoutMs)
                .thenApply(RankPeer::decode)
                .whenComplete((report, failure) -> countUnanswered(failure != null));
    }

    private void countUnanswered(boolean failed) {
        if (failed) {
            unansweredCalls.incrementAndGet();
        } else {
            unansweredCalls.set(0);
        }
    }

    private static RankReport decode(byte[] answer) {
        try {
            return GroupMessages.decodeReport(answer);
        } catch (InvalidProtocolBufferException e) {
            throw new CompletionException(e);
        }
    }
}
