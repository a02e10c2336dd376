package io.pollenpath.transport.entry;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.protocol.Problem;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Refused;
import io.pollenpath.protocol.wire.Resume;
import io.pollenpath.state.Executed;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the rest of a streamed answer to a caller that reconnects, possibly at another entry than
 * before. Runs on the event loop of the caller's connection.
 */
final class Resumption implements AnswerReader.ResultListener {

    private static final Logger LOG = LoggerFactory.getLogger(Resumption.class);

    private final EventId after;
    private final String customer;
    private final Span span;
    private final AnswerWriter writer;
    private final AnswerReader reader;
    private final Runnable onDone;
    private boolean done;

    Resumption(
            SideLink link,
            EventId after,
            String customer,
            DeliveryLimits limits,
            HttpExchange exchange,
            Span span,
            Runnable onDone) {
        this.after = after;
        this.customer = customer;
        this.span = span;
        this.onDone = onDone;
        int nextIndex = after.index() + 1;
        writer = new AnswerWriter(exchange, after.requestId(), Traces.traceparent(span), nextIndex);
        Resume resume =
                Resume.newBuilder()
                        .setRequestId(after.requestId())
                        .setCustomer(customer)
                        .setNextIndex(nextIndex)
                        .setWindowBytes(limits.windowBytes())
                        .build();
        reader =
                new AnswerReader(
                        link,
                        after.requestId(),
                        customer,
                        Frame.newBuilder().setResume(resume).build(),
                        exchange,
                        writer,
                        limits,
                        this);
        exchange.onClose(this::onCallerDisconnected);
    }

    void start() {
        if (!reader.start()) {
            reader.stop();
            fail(SideProblems.noLink());
        }
    }

    private void onCallerDisconnected() {
        if (done) {
            return;
        }
        reader.cancel(true);
        finish("caller_gone", Executed.UNKNOWN);
    }

    @Override
    public void onStarted() {
        span.addEvent("started");
    }

    @Override
    public void onFinished() {
        finish("finished", Executed.YES);
    }

    @Override
    public void onRefused(Refused refused) {
        fail(SideProblems.of(refused));
    }

    @Override
    public void onLost(String code, Executed executed) {
        fail(SideProblems.lost(code, executed));
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
        span.setAttribute("outcome", outcome);
        span.end();
        LOG.info(
                "{}",
                LogLine.event("resumption_ended")
                        .with("trace", span.getSpanContext().getTraceId())
                        .with("request", after.requestId())
                        .with("customer", customer)
                        .with("outcome", outcome)
                        .with("executed", executed.wireName())
                        .with("pieces", writer.nextIndex()));
        onDone.run();
    }
}
