package io.pollenpath.transport.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.RankStatus;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds what an agent answers.
 *
 * @param outcome what became of the order; empty after a question
 * @param status the state of the engine; empty if it did not answer
 * @param counts how often each expert was chosen since the question before; empty if not asked for
 * @param experts the experts that the rank holds, one list a set; empty if not asked for
 * @param leaderToken the highest token of a leader that the agent has heard; 0 if none, or if the
 *     sender belongs to another group
 * @param leaderHeardMs how long ago that was, in milliseconds
 */
public record RankReport(
        Optional<CommandResult> outcome,
        Optional<RankStatus> status,
        long[] counts,
        List<List<Integer>> experts,
        long leaderToken,
        long leaderHeardMs) {

    /** Checks the components. */
    public RankReport {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(counts, "counts");
        experts = List.copyOf(experts);
    }

    /**
     * Tells whether a leader with a higher token has been at the agent or its engine.
     *
     * @param token the token of the asking leader
     * @return true if that leader must stop
     */
    public boolean deposes(long token) {
        return leaderToken > token
                || (outcome.isPresent() && outcome.get() == CommandResult.FENCED);
    }
}
