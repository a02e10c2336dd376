package io.pollenpath.transport.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.RankStatus;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The answer of an agent to a status query or a command.
 *
 * @param outcome the outcome of the command; in the answer to a query, {@link CliResult#FENCED} if
 *     its token is outdated and empty otherwise; empty if the sender belongs to another group
 * @param status the state of the engine; empty if it did not answer
 * @param counts how often each expert was selected since the previous query; empty if not requested
 * @param experts the experts that the rank holds, one list per layer set; empty if not requested
 * @param leaderToken the highest fencing token of a leader that has called the agent; 0 if none
 *     has, or if the sender belongs to another group
 * @param leaderContactAgeMs the time since the last contact of a leader, or since the start of the
 *     agent if there was none, in milliseconds; 0 if the sender belongs to another group
 */
public record RankReport(
        Optional<CommandResult> outcome,
        Optional<RankStatus> status,
        long[] counts,
        List<List<Integer>> experts,
        long leaderToken,
        long leaderContactAgeMs) {

    /** Checks the components. */
    public RankReport {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(status, "status");
        Objects.requireNonNull(counts, "counts");
        experts = List.copyOf(experts);
    }

    /**
     * Returns the same report with the result of a command.
     *
     * @param result the result, not null
     * @return the report
     */
    RankReport withOutcome(CommandResult result) {
        return new RankReport(
                Optional.of(result), status, counts, experts, leaderToken, leaderContactAgeMs);
    }

    /**
     * Returns whether a command was answered and the state of the engine after it is not known.
     *
     * @return true if the engine should be asked for its state
     */
    boolean isAnsweredWithoutStatus() {
        boolean answered = outcome.isPresent() && outcome.get() != CommandResult.UNKNOWN;
        return status.isEmpty() && answered;
    }

    /**
     * Returns whether a leader with a higher token has called the agent or its engine.
     *
     * @param token the fencing token of the leader that received this report
     * @return true if that leader must step down
     */
    public boolean supersedes(long token) {
        return leaderToken > token
                || (outcome.isPresent() && outcome.get() == CommandResult.FENCED);
    }
}
