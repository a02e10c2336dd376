package io.pollenpath.transport.entry;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.coordination.retry.RetryAfter;
import io.pollenpath.coordination.retry.RetryBudget;
import io.pollenpath.coordination.routing.RouteRequest;
import io.pollenpath.protocol.Problem;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Grant;
import io.pollenpath.protocol.wire.Refused;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.state.Executed;
import io.pollenpath.state.RunClaim;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.LogLine;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings one request to a side process and its answer back to the caller, trying elsewhere where
 * the contract allows; runs on the loop of the caller's connection.
 */
final class Delivery {

    private static final Logger LOG = LoggerFactory.getLogger(Delivery.class);
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_TIMEOUT = 504;
    private static final int RETRY_AFTER_MS = 1_000;

    private final EntryOptions options;
    private final SideLinks links;
    private final ClaimedRoute claims;
    private final Traces traces;
    private final CallerRequest request;
    private final HttpExchange exchange;
    private final Span span;
    private final AnswerWriter writer;
    private final RetryBudget retryBudget;
    private final Runnable onDone;
    private final Set<String> tried = new HashSet<>();
    private AnswerReader current;
    private Attempt attempt;
    private int attempts;
    private boolean done;
    private boolean answering;
    private Future<?> deadline;

    Delivery(
            EntryOptions options,
            SideLinks links,
            ClaimedRoute claims,
            Traces traces,
            CallerRequest request,
            HttpExchange exchange,
            Span span,
            RetryBudget retryBudget,
            Runnable onDone) {
        this.options = options;
        this.links = links;
        this.claims = claims;
        this.traces = traces;
        this.request = request;
        this.exchange = exchange;
        this.span = span;
        this.retryBudget = retryBudget;
        this.onDone = onDone;
        writer = new AnswerWriter(exchange, request.requestId(), Traces.traceparent(span), 0);
    }

    void start() {
        exchange.onClose(this::callerGone);
        retryBudget.onFirstAttempt(request.contract().retryBudget());
        long nowNanos = System.nanoTime();
        deadline =
                exchange.loop()
                        .schedule(
                                this::deadlinePassed,
                                request.remainingMs(nowNanos),
                                TimeUnit.MILLISECONDS);
        tryNext(nowNanos);
    }

    private void tryNext(long nowNanos) {
        SideLink link = links.choose(request.target(), route(), tried, nowNanos);
        if (request.isKeyed()) {
            claimNext(link);
            return;
        }
        if (link == null) {
            fail(unavailable(Executed.NO, "no_server", "no server takes work now; come back"));
            return;
        }
        attempts++;
        Grant grant =
                request.kind().repeatable() ? Grant.getDefaultInstance() : ClaimedRoute.grant(link);
        if (!send(link, attempts, grant, nowNanos)) {
            retryOr(unavailable(Executed.NO, "link_closed", "the server went away; come back"));
        }
    }

    private RouteRequest route() {
        return new RouteRequest(options.zone(), request.costTokens(), request.prefixHash());
    }

    private void claimNext(SideLink candidate) {
        if (candidate == null && claims.hasClaim()) {
            failNotRun(
                    unavailable(Executed.NO, "no_server", "no server takes work now; come back"));
            return;
        }
        attempts++;
        claims.next(candidate)
                .whenComplete(
                        (claim, failure) ->
                                exchange.loop().execute(() -> sendClaimed(claim, failure)));
    }

    private void sendClaimed(RunClaim claim, Throwable failure) {
        if (done) {
            return;
        }
        if (failure != null) {
            fail(ClaimedRoute.toProblem(failure));
            return;
        }
        claims.use(claim);
        SideLink link = links.link(claim.executor());
        Grant grant = ClaimedRoute.grant(claim);
        if (link == null || !send(link, claim.attempt(), grant, System.nanoTime())) {
            fail(ClaimedRoute.unreachable());
        }
    }

    /** Sends one attempt; returns false if there is no link, so that nothing was sent. */
    private boolean send(SideLink link, int number, Grant grant, long nowNanos) {
        tried.add(link.server().name());
        Span attemptSpan = traces.start("entry.attempt", Traces.traceparent(span));
        attemptSpan.setAttribute("server", link.server().name());
        writer.restart();
        Submit.Builder submit =
                request.toSubmit(number, Traces.traceparent(attemptSpan), nowNanos)
                        .setGrant(grant)
                        .setWindowBytes(options.delivery().windowBytes());
        attempt = new Attempt(attemptSpan, new TrackedAttempt(link, route(), nowNanos));
        AnswerReader reader =
                new AnswerReader(
                        link,
                        request.requestId(),
                        request.contract().customer(),
                        Frame.newBuilder().setSubmit(submit).build(),
                        exchange,
                        writer,
                        options.delivery(),
                        attempt);
        current = reader;
        boolean sent = reader.start();
        if (!sent) {
            attempt.end("not_sent");
        }
        return sent;
    }

    private static Problem unavailable(Executed executed, String code, String detail) {
        int retryAfterMs = RetryAfter.jitteredMs(RETRY_AFTER_MS, ThreadLocalRandom.current());
        return new Problem(STATUS_UNAVAILABLE, code, detail, executed, retryAfterMs);
    }

    private void retryOr(Problem problem) {
        boolean mayRepeat = problem.executed() == Executed.NO || request.kind().repeatable();
        boolean timeLeft = request.remainingMs(System.nanoTime()) > 0;
        boolean attemptsLeft = attempts < options.maxAttempts() && !writer.hasDelivered();
        if (mayRepeat
                && timeLeft
                && attemptsLeft
                && retryBudget.tryRetry(request.contract().retryBudget())) {
            tryNext(System.nanoTime());
        } else {
            giveUp(problem);
        }
    }

    /** Gives up; a keyed request is called "not run" once no entry can have run it since. */
    private void giveUp(Problem problem) {
        if (request.isKeyed() && problem.executed() == Executed.NO) {
            failNotRun(problem);
        } else {
            fail(problem);
        }
    }

    private void failNotRun(Problem problem) {
        claims.confirmNotRun(problem)
                .thenAccept(
                        confirmed ->
                                exchange.loop()
                                        .execute(
                                                () -> {
                                                    if (!done) {
                                                        fail(confirmed);
                                                    }
                                                }));
    }

    private void deadlinePassed() {
        if (done) {
            return;
        }
        if (current != null) {
            current.stop();
            attempt.end("deadline_exceeded");
        }
        fail(
                new Problem(
                        STATUS_TIMEOUT,
                        "deadline_exceeded",
                        "the whole answer did not come in time; ask for the outcome",
                        answering ? Executed.YES : Executed.UNKNOWN,
                        RETRY_AFTER_MS));
    }

    private void fail(Problem problem) {
        writer.fail(problem);
        finish(problem.code(), problem.executed());
    }

    private void finish(String outcome, Executed executed) {
        if (done) {
            return;
        }
        done = true;
        deadline.cancel(false);
        span.setAttribute("outcome", outcome);
        span.end();
        LOG.info(
                "{}",
                LogLine.event("request_ended")
                        .with("trace", span.getSpanContext().getTraceId())
                        .with("request", request.requestId())
                        .with("customer", request.contract().customer())
                        .with("kind", request.kind().name())
                        .with("outcome", outcome)
                        .with("executed", executed.wireName())
                        .with("attempts", attempts)
                        .with("pieces", writer.nextIndex()));
        onDone.run();
    }

    private void callerGone() {
        if (done) {
            return;
        }
        if (current == null) {
            finish("caller_gone", Executed.NO);
            return;
        }
        current.cancel(writer.hasDelivered());
        attempt.end("caller_gone");
        finish("caller_gone", Executed.UNKNOWN);
    }

    /** Takes the outcome of one attempt. */
    private final class Attempt implements AnswerReader.Outcome {
        private final Span attemptSpan;
        private final TrackedAttempt tracked;

        Attempt(Span attemptSpan, TrackedAttempt tracked) {
            this.attemptSpan = attemptSpan;
            this.tracked = tracked;
        }

        void end(String outcome) {
            tracked.end(System.nanoTime());
            attemptSpan.setAttribute("outcome", outcome);
            attemptSpan.end();
        }

        @Override
        public void onFirstPiece() {
            answering = true;
            tracked.answer(System.nanoTime());
        }

        @Override
        public void onStarted() {
            attemptSpan.addEvent("started");
        }

        @Override
        public void onFinished() {
            end("finished");
            finish("finished", Executed.YES);
        }

        @Override
        public void onRefused(Refused refused) {
            end(refused.getCode());
            Problem problem = SideProblems.of(refused);
            if (SideProblems.isFinal(refused.getCode())) {
                giveUp(problem);
            } else {
                retryOr(problem);
            }
        }

        @Override
        public void onLost(String code, Executed executed) {
            end(code);
            Problem problem = SideProblems.lost(code, executed);
            if (SideProblems.isFinal(code)) {
                giveUp(problem);
            } else {
                retryOr(problem);
            }
        }
    }
}
