package io.pollenpath.transport.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads the state of one engine that is a rank of a group, and sends commands to it. */
public interface EngineControl {

    /**
     * Reads the state of the engine.
     *
     * @return the state; the future fails if the engine does not answer or is not a rank of a group
     */
    CompletableFuture<RankStatus> status();

    /**
     * Reads how often each expert was selected by the requests of this rank.
     *
     * @return the counters since the engine started, one layer set after the other; the future
     *     fails if the engine does not answer
     */
    CompletableFuture<long[]> counts();

    /**
     * Reads the experts that the rank holds under the active map.
     *
     * @return the experts, one list per layer set; the future fails if the engine does not answer
     */
    CompletableFuture<List<List<Integer>>> experts();

    /**
     * Sends a command to the engine.
     *
     * @param command the command, not null
     * @param epoch the epoch of the group for which the command is valid
     * @param token the fencing token of the leader that sends it
     * @return the result; the future never fails
     */
    CompletableFuture<CommandResult> send(EngineCommand command, long epoch, long token);
}
