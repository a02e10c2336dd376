package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.CounterDeltas;
import io.pollenpath.coordination.group.LeaderElection;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.util.LogLine;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers calls for the engine on the same VM: reads its state, and forwards commands of a leader
 * unless a leader with a higher fencing token has called before.
 */
public final class RankAgent {

    private static final Logger LOG = LoggerFactory.getLogger(RankAgent.class);
    private static final long[] NO_COUNTS = new long[0];

    private final EngineControl engine;
    private final AgentScheduler scheduler;
    private final LeaderElection election;
    private final CounterDeltas countDeltas = new CounterDeltas();
    private final RecentMaps knownMaps = new RecentMaps();
    private volatile Optional<String> ownGroup = Optional.empty();

    /**
     * Creates an agent.
     *
     * @param engine the client of the engine, not null
     * @param scheduler the control thread and its clock, not null
     * @param election records contacts of leaders, not null
     */
    public RankAgent(EngineControl engine, AgentScheduler scheduler, LeaderElection election) {
        this.engine = engine;
        this.scheduler = scheduler;
        this.election = election;
    }

    /**
     * Answers a status query.
     *
     * @param query the query, not null
     * @return the report; the future never fails
     */
    public CompletableFuture<RankReport> query(RankStatusQuery query) {
        return isOwnGroup(query.group())
                .thenCompose(own -> own ? answerOwnGroup(query) : answerOtherGroup());
    }

    private CompletableFuture<RankReport> answerOwnGroup(RankStatusQuery query) {
        return acceptsLeader(query.token()) ? readEngine(query, Optional.empty()) : reportFenced();
    }

    private CompletableFuture<RankReport> reportFenced() {
        return CompletableFuture.completedFuture(
                report(Optional.of(CommandResult.FENCED), Optional.empty(), NO_COUNTS, List.of()));
    }

    /** Reports only the state of the engine: fencing tokens of other groups are not comparable. */
    private CompletableFuture<RankReport> answerOtherGroup() {
        return toOptional(status())
                .thenApply(
                        status ->
                                new RankReport(
                                        Optional.empty(), status, NO_COUNTS, List.of(), 0, 0));
    }

    /**
     * Returns whether a group is the engine's own; false until the engine has reported its group.
     */
    private CompletableFuture<Boolean> isOwnGroup(String group) {
        if (ownGroup.isPresent()) {
            return CompletableFuture.completedFuture(ownGroup.get().equals(group));
        }
        return toOptional(status())
                .thenApply(status -> status.isPresent() && status.get().group().equals(group));
    }

    private CompletableFuture<RankStatus> status() {
        return engine.status()
                .whenComplete(
                        (status, failure) -> {
                            if (failure == null) {
                                ownGroup = Optional.of(status.group());
                            }
                        });
    }

    /**
     * Forwards a command to the engine.
     *
     * @param command the command, not null
     * @param group the group for which the command is valid, not null
     * @param epoch the epoch of the group for which the command is valid
     * @param token the fencing token of the leader
     * @return the result and the state after it; the future never fails
     */
    public CompletableFuture<RankReport> command(
            EngineCommand command, String group, long epoch, long token) {
        return isOwnGroup(group)
                .thenCompose(
                        own -> own ? execute(command, group, epoch, token) : answerOtherGroup());
    }

    private CompletableFuture<RankReport> execute(
            EngineCommand command, String group, long epoch, long token) {
        CompletableFuture<CommandResult> sent =
                acceptsLeader(token)
                        ? engine.send(command, epoch, token)
                        : CompletableFuture.completedFuture(CommandResult.FENCED);
        return sent.thenCompose(
                result -> {
                    logCommand(command, epoch, token, result);
                    rememberMap(command, result);
                    return readEngine(
                            new RankStatusQuery(group, token, false, false), Optional.of(result));
                });
    }

    private void rememberMap(EngineCommand command, CommandResult result) {
        boolean accepted = result == CommandResult.ACCEPTED;
        if (accepted && command instanceof EngineCommand.Prepare prepare) {
            knownMaps.add(prepare.version(), prepare.map());
        }
    }

    /** Returns the maps to which a leader may refer instead of sending them again. */
    RecentMaps knownMaps() {
        return knownMaps;
    }

    /**
     * Answers a command whose map is given as changes of a map that this agent does not know.
     *
     * @param group the group for which the command is valid, not null
     * @param token the fencing token of the leader
     * @return the state, with the result {@link CommandResult#REJECTED} unless the token is
     *     outdated; the future never fails
     */
    CompletableFuture<RankReport> rejectUnknownBase(String group, long token) {
        LOG.info("{}", LogLine.event("base_map_unknown").with("group", group).with("token", token));
        return query(new RankStatusQuery(group, token, false, false))
                .thenApply(
                        report ->
                                report.outcome().isPresent()
                                        ? report
                                        : report.withOutcome(CommandResult.REJECTED));
    }

    private boolean acceptsLeader(long token) {
        return token == 0 || election.onLeaderCall(token, scheduler.nowNanos());
    }

    private CompletableFuture<RankReport> readEngine(
            RankStatusQuery query, Optional<CommandResult> result) {
        CompletableFuture<Optional<RankStatus>> status = toOptional(status());
        CompletableFuture<Optional<long[]>> counts =
                query.withCounts() ? toOptional(newCounts()) : notRequested();
        CompletableFuture<Optional<List<List<Integer>>>> experts =
                query.withExperts() ? toOptional(engine.experts()) : notRequested();
        return CompletableFuture.allOf(status, counts, experts)
                .thenApply(
                        done ->
                                report(
                                        result,
                                        status.join(),
                                        counts.join().orElse(NO_COUNTS),
                                        experts.join().orElse(List.of())));
    }

    private CompletableFuture<long[]> newCounts() {
        return engine.counts().thenApplyAsync(countDeltas::update, scheduler.executor());
    }

    private static <T> CompletableFuture<Optional<T>> notRequested() {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    private static <T> CompletableFuture<Optional<T>> toOptional(CompletableFuture<T> response) {
        return response.handle(
                (value, failure) -> {
                    if (failure != null) {
                        LOG.debug("{}", LogLine.event("engine_silent").with("cause", failure));
                    }
                    return Optional.ofNullable(value);
                });
    }

    private RankReport report(
            Optional<CommandResult> result,
            Optional<RankStatus> status,
            long[] counts,
            List<List<Integer>> experts) {
        return new RankReport(
                result,
                status,
                counts,
                experts,
                election.highestToken(),
                election.leaderSilenceMs(scheduler.nowNanos()));
    }

    private static void logCommand(
            EngineCommand command, long epoch, long token, CommandResult result) {
        LOG.info(
                "{}",
                LogLine.event("engine_order")
                        .with("order", describe(command))
                        .with("epoch", epoch)
                        .with("token", token)
                        .with("outcome", result));
    }

    /** Describes a command for the log, without the expert map. */
    static String describe(EngineCommand command) {
        return command instanceof EngineCommand.Prepare prepare
                ? "Prepare[version=" + prepare.version() + "]"
                : command.toString();
    }
}
