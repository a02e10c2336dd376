package io.pollenpath.transport.serving;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpRequest;
import io.pollenpath.coordination.serving.MemoryBudget;
import io.pollenpath.coordination.serving.QueueTimeouts;
import io.pollenpath.protocol.Problem;
import io.pollenpath.transport.MetricNames;
import io.pollenpath.util.LogLine;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The memory that an entry has for requests and answers, and what it says of it. */
final class EntryMemory {

    private static final Logger LOG = LoggerFactory.getLogger(EntryMemory.class);

    /** Most requests, most answers and the untaken part of a stream are small. */
    private static final long SMALL_BYTES = 131_072;

    /** The time that a caller is taken to have if it names none, in milliseconds. */
    private static final long DEFAULT_TIMEOUT_MS = 1_000;

    private final MemoryBudget budget;
    private final WireDialect dialect;
    private final MetricRegistry metrics;
    private final RandomGenerator random;

    EntryMemory(
            long capacityBytes,
            WireDialect dialect,
            MetricRegistry metrics,
            RandomGenerator random) {
        budget = new MemoryBudget(capacityBytes, SMALL_BYTES);
        this.dialect = dialect;
        this.metrics = metrics;
        this.random = random;
        Gauge<Number> used = budget::usedBytes;
        Gauge<Number> capacity = () -> capacityBytes;
        Gauge<Number> waiting = budget::waiting;
        metrics.register("buffered_bytes", used);
        metrics.register("buffered_max_bytes", capacity);
        metrics.register("buffers_waiting", waiting);
    }

    /** Opens the share of a request, which keeps its memory until it is answered. */
    MemoryBudget.Share open(MemoryBudget.Owner owner) {
        return budget.open(owner, false);
    }

    /** Opens the share of an answer, which may be cut. */
    MemoryBudget.Share openForAnswer(MemoryBudget.Owner owner) {
        return budget.open(owner, true);
    }

    /** Returns whether a body could be buffered if there were no others. */
    boolean isPossible(long bytes) {
        return budget.isPossible(bytes);
    }

    /** Returns how long a caller's body may wait for memory. */
    long maxWaitMs(HttpRequest head) {
        return QueueTimeouts.maxQueueMs(timeoutMs(head));
    }

    /** Returns the answer to a request for whose body there is no memory. */
    Problem problem(HttpRequest head) {
        MetricNames.count(metrics, "memory_short_total", "effect", "request_refused");
        LOG.warn(
                "{}",
                state("memory_short")
                        .with("effect", "request_refused")
                        .with("request", dialect.readCallerHeaders(head.headers()).requestId())
                        .with("bytes", CallerRequestCheck.declaredBytes(head)));
        long timeoutMs = timeoutMs(head);
        return GatewayProblems.notExecuted(
                "memory_short",
                "too many large requests and answers are in progress; retry later",
                QueueTimeouts.retryAfterMs(0, true, timeoutMs, random));
    }

    private long timeoutMs(HttpRequest head) {
        return dialect.readCallerHeaders(head.headers())
                .callerTimeoutMs()
                .orElse(DEFAULT_TIMEOUT_MS);
    }

    /** Cuts an answer if too little becomes free. */
    void onTick(long nowNanos) {
        budget.onTick(nowNanos).ifPresent(this::onCut);
    }

    private void onCut(long bytes) {
        MetricNames.count(metrics, "memory_short_total", "effect", "answer_cut");
        LOG.warn("{}", state("memory_short").with("effect", "answer_cut").with("bytes", bytes));
    }

    private LogLine state(String event) {
        return LogLine.event(event)
                .with("buffered_bytes", budget.usedBytes())
                .with("waiting", budget.waiting());
    }
}
