package io.pollenpath.transport.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Asks and orders one engine that is a rank of a group. */
public interface EngineControl {

    /**
     * Asks for the state.
     *
     * @return the state; fails if the engine does not answer or is no rank
     */
    CompletableFuture<RankStatus> status();

    /**
     * Asks how often each expert was chosen by the requests of this rank.
     *
     * @return the counters since the engine started, set by set; fails if it does not answer
     */
    CompletableFuture<long[]> counts();

    /**
     * Asks for the experts that the rank holds under the map in use.
     *
     * @return the experts, one list a set; fails if the engine does not answer
     */
    CompletableFuture<List<List<Integer>>> experts();

    /**
     * Sends an order.
     *
     * @param order the order, not null
     * @param epoch the epoch of the group that it is meant for
     * @param token the fencing token of the sender
     * @return what became of it; never fails
     */
    CompletableFuture<CommandResult> send(EngineCommand order, long epoch, long token);
}
