package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;
import java.util.concurrent.TimeUnit;

/**
 * Derives the request metrics from ended spans, so that metrics agree with traces and no hop of a
 * request is counted twice.
 */
final class SpanMetrics implements SpanProcessor {

    private static final AttributeKey<String> OUTCOME = AttributeKey.stringKey("outcome");

    private final MetricRegistry metrics;

    SpanMetrics(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    public void onStart(Context parent, ReadWriteSpan span) {
        // Spans are counted when they end.
    }

    @Override
    public boolean isStartRequired() {
        return false;
    }

    @Override
    public void onEnd(ReadableSpan span) {
        switch (span.getName()) {
            case "entry.request" -> {
                countOutcome("requests_total", span);
                time("request_seconds", span);
            }
            case "entry.attempt" -> countOutcome("attempts_total", span);
            case "side.queue" -> time("queue_seconds", span);
            case "side.run" -> {
                countOutcome("runs_total", span);
                time("run_seconds", span);
            }
            default -> {
                // Other spans have no metric.
            }
        }
    }

    private void countOutcome(String family, ReadableSpan span) {
        MetricNames.count(metrics, family, "outcome", span.getAttribute(OUTCOME));
    }

    private void time(String family, ReadableSpan span) {
        metrics.timer(family).update(span.getLatencyNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public boolean isEndRequired() {
        return true;
    }
}
