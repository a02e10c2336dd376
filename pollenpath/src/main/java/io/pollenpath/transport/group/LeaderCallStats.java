package io.pollenpath.transport.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.util.LogLine;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Counts the calls of a group's leader, for at most one log line each second. */
final class LeaderCallStats {

    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private long intervalStartNanos;
    private int queries;
    private int queriesUnanswered;
    private int commands;
    private int commandsUnanswered;
    private int commandsRefused;
    private int directCommands;
    private long commandBytes;
    private long maxDelayNanos;

    LeaderCallStats(long nowNanos) {
        intervalStartNanos = nowNanos;
    }

    /** Records how late a round of polls started. */
    void onRound(long delayNanos) {
        maxDelayNanos = Math.max(maxDelayNanos, delayNanos);
    }

    void onQuery(boolean answered) {
        queries++;
        queriesUnanswered += answered ? 0 : 1;
    }

    /**
     * Records a command that was sent.
     *
     * @param bytes the size of its message
     * @param direct whether it was sent to the engine instead, because the agent did not answer
     */
    void onCommandSent(int bytes, boolean direct) {
        commands++;
        commandBytes += bytes;
        directCommands += direct ? 1 : 0;
    }

    void onCommandEnded(CommandResult result) {
        switch (result) {
            case UNKNOWN -> commandsUnanswered++;
            case REJECTED, FENCED -> commandsRefused++;
            case ACCEPTED -> {
                // Counted when it was sent.
            }
        }
    }

    /**
     * Returns the line for the interval that ends now and starts the next interval.
     *
     * @return the line; empty before the end of the interval, and if no command was sent and all
     *     queries were answered
     */
    Optional<LogLine> lineIfDue(long nowNanos) {
        if (nowNanos - intervalStartNanos < LOG_INTERVAL_NANOS) {
            return Optional.empty();
        }
        boolean eventful = commands > 0 || queriesUnanswered > 0;
        Optional<LogLine> result = eventful ? Optional.of(line()) : Optional.empty();
        reset(nowNanos);
        return result;
    }

    private LogLine line() {
        return LogLine.event("leader_calls")
                .with("queries", queries)
                .with("queries_unanswered", queriesUnanswered)
                .with("commands", commands)
                .with("commands_unanswered", commandsUnanswered)
                .with("commands_refused", commandsRefused)
                .with("direct_commands", directCommands)
                .with("command_bytes", commandBytes)
                .with("max_delay_ms", TimeUnit.NANOSECONDS.toMillis(maxDelayNanos));
    }

    private void reset(long nowNanos) {
        intervalStartNanos = nowNanos;
        queries = 0;
        queriesUnanswered = 0;
        commands = 0;
        commandsUnanswered = 0;
        commandsRefused = 0;
        directCommands = 0;
        commandBytes = 0;
        maxDelayNanos = 0;
    }
}
