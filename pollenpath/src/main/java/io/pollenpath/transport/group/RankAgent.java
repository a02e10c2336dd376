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
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers for the engine on its own VM: asks it, and passes on orders of the leader with the
 * highest fencing token that it has heard.
 */
public final class RankAgent {

    private static final Logger LOG = LoggerFactory.getLogger(RankAgent.class);
    private static final long[] NO_COUNTS = new long[0];

    private final EngineControl engine;
    private final Executor control;
    private final LeaderElection candidacy;
    private final CounterDeltas growth = new CounterDeltas();
    private volatile Optional<String> ownGroup = Optional.empty();

    /**
     * Creates an agent.
     *
     * @param engine the engine, not null
     * @param control the thread that owns the candidacy, not null
     * @param candidacy remembers leaders, not null
     */
    public RankAgent(EngineControl engine, Executor control, LeaderElection candidacy) {
        this.engine = engine;
        this.control = control;
        this.candidacy = candidacy;
    }

    /**
     * Answers a question.
     *
     * @param question the question, not null
     * @return the answer; never fails
     */
    public CompletableFuture<RankReport> query(RankQuestion question) {
        return isOwn(question.group())
                .thenCompose(own -> own ? answer(question) : answerStranger());
    }

    private CompletableFuture<RankReport> answer(RankQuestion question) {
        return hear(question.token())
                .thenCompose(heard -> heard ? ask(question, Optional.empty()) : refuse());
    }

    private CompletableFuture<RankReport> refuse() {
        return report(Optional.of(CommandResult.FENCED), Optional.empty(), NO_COUNTS, List.of());
    }

    /** Tells the state of the engine only; the leaders of other groups mean nothing here. */
    private CompletableFuture<RankReport> answerStranger() {
        return optional(status())
                .thenApply(
                        status ->
                                new RankReport(
                                        Optional.empty(), status, NO_COUNTS, List.of(), 0, 0));
    }

    /** Tells whether a group is the engine's; not before the engine has named its group. */
    private CompletableFuture<Boolean> isOwn(String group) {
        if (ownGroup.isPresent()) {
            return CompletableFuture.completedFuture(ownGroup.get().equals(group));
        }
        return optional(status())
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
     * Carries out an order.
     *
     * @param order the order, not null
     * @param group the group that it is meant for, not null
     * @param epoch the epoch of the group that it is meant for
     * @param token the fencing token of the leader
     * @return what became of it and the state after it; never fails
     */
    public CompletableFuture<RankReport> command(
            EngineCommand order, String group, long epoch, long token) {
        return isOwn(group)
                .thenCompose(own -> own ? carryOut(order, group, epoch, token) : answerStranger());
    }

    private CompletableFuture<RankReport> carryOut(
            EngineCommand order, String group, long epoch, long token) {
        return hear(token)
                .thenCompose(
                        heard ->
                                heard
                                        ? engine.send(order, epoch, token)
                                        : CompletableFuture.completedFuture(CommandResult.FENCED))
                .thenCompose(
                        outcome -> {
                            logOrder(order, epoch, token, outcome);
                            return ask(
                                    new RankQuestion(group, token, false, false),
                                    Optional.of(outcome));
                        });
    }

    private CompletableFuture<Boolean> hear(long token) {
        return CompletableFuture.supplyAsync(
                () -> token == 0 || candidacy.onLeaderCall(token, System.nanoTime()), control);
    }

    private CompletableFuture<RankReport> ask(
            RankQuestion question, Optional<CommandResult> outcome) {
        CompletableFuture<Optional<RankStatus>> status = optional(status());
        CompletableFuture<Optional<long[]>> counts =
                question.withCounts() ? optional(grown()) : nothing();
        CompletableFuture<Optional<List<List<Integer>>>> experts =
                question.withExperts() ? optional(engine.experts()) : nothing();
        return CompletableFuture.allOf(status, counts, experts)
                .thenCompose(
                        done ->
                                report(
                                        outcome,
                                        status.join(),
                                        counts.join().orElse(NO_COUNTS),
                                        experts.join().orElse(List.of())));
    }

    private CompletableFuture<long[]> grown() {
        return engine.counts().thenApplyAsync(growth::update, control);
    }

    private static <T> CompletableFuture<Optional<T>> nothing() {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    private static <T> CompletableFuture<Optional<T>> optional(CompletableFuture<T> answer) {
        return answer.handle(
                (value, failure) -> {
                    if (failure != null) {
                        LOG.debug("{}", LogLine.event("engine_silent").with("cause", failure));
                    }
                    return Optional.ofNullable(value);
                });
    }

    private CompletableFuture<RankReport> report(
            Optional<CommandResult> outcome,
            Optional<RankStatus> status,
            long[] counts,
            List<List<Integer>> experts) {
        return CompletableFuture.supplyAsync(
                () ->
                        new RankReport(
                                outcome,
                                status,
                                counts,
                                experts,
                                candidacy.highestToken(),
                                candidacy.leaderSilenceMs(System.nanoTime())),
                control);
    }

    private static void logOrder(
            EngineCommand order, long epoch, long token, CommandResult outcome) {
        LOG.info(
                "{}",
                LogLine.event("engine_order")
                        .with("order", describe(order))
                        .with("epoch", epoch)
                        .with("token", token)
                        .with("outcome", outcome));
    }

    /** Names an order without the whole map. */
    static String describe(EngineCommand order) {
        return order instanceof EngineCommand.Prepare prepare
                ? "Prepare[version=" + prepare.version() + "]"
                : order.toString();
    }
}
