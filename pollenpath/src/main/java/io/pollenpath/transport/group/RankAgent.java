package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.Candidacy;
import io.pollenpath.coordination.group.CountGrowth;
import io.pollenpath.state.group.OrderOutcome;
import io.pollenpath.state.group.RankOrder;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.util.LogLine;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
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
    private final Executor control;
    private final Candidacy candidacy;
    private final CountGrowth growth = new CountGrowth();
    private volatile Optional<String> ownGroup = Optional.empty();

    /**
     * Creates an agent.
     *
     * @param engine the client of the engine, not null
     * @param control the thread to which the election state is confined, not null
     * @param candidacy records contacts of leaders, not null
     */
    public RankAgent(EngineControl engine, Executor control, Candidacy candidacy) {
        this.engine = engine;
        this.control = control;
        this.candidacy = candidacy;
    }

    /**
     * Answers a status query.
     *
     * @param question the query, not null
     * @return the report; the future never fails
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
        return report(Optional.of(OrderOutcome.FENCED), Optional.empty(), NO_COUNTS, List.of());
    }

    /** Reports only the state of the engine: fencing tokens of other groups are not comparable. */
    private CompletableFuture<RankReport> answerStranger() {
        return optional(status())
                .thenApply(
                        status ->
                                new RankReport(
                                        Optional.empty(), status, NO_COUNTS, List.of(), 0, 0));
    }

    /**
     * Returns whether a group is the engine's own; false until the engine has reported its group.
     */
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
     * Forwards a command to the engine.
     *
     * @param order the command, not null
     * @param group the group for which the command is valid, not null
     * @param epoch the epoch of the group for which the command is valid
     * @param token the fencing token of the leader
     * @return the outcome and the state after it; the future never fails
     */
    public CompletableFuture<RankReport> command(
            RankOrder order, String group, long epoch, long token) {
        return isOwn(group)
                .thenCompose(own -> own ? carryOut(order, group, epoch, token) : answerStranger());
    }

    private CompletableFuture<RankReport> carryOut(
            RankOrder order, String group, long epoch, long token) {
        return hear(token)
                .thenCompose(
                        heard ->
                                heard
                                        ? engine.order(order, epoch, token)
                                        : CompletableFuture.completedFuture(OrderOutcome.FENCED))
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
                () -> token == 0 || candidacy.onLeader(token, System.nanoTime()), control);
    }

    private CompletableFuture<RankReport> ask(
            RankQuestion question, Optional<OrderOutcome> outcome) {
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
        return engine.counts().thenApplyAsync(growth::since, control);
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
            Optional<OrderOutcome> outcome,
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
                                candidacy.silentMs(System.nanoTime())),
                control);
    }

    private static void logOrder(RankOrder order, long epoch, long token, OrderOutcome outcome) {
        LOG.info(
                "{}",
                LogLine.event("engine_order")
                        .with("order", describe(order))
                        .with("epoch", epoch)
                        .with("token", token)
                        .with("outcome", outcome));
    }

    /** Describes a command for the log, without the expert map. */
    static String describe(RankOrder order) {
        return order instanceof RankOrder.Prepare prepare
                ? "Prepare[version=" + prepare.version() + "]"
                : order.toString();
    }
}
