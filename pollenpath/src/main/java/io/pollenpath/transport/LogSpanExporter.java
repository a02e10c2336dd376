package io.pollenpath.transport;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.pollenpath.util.LogLine;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Span exporter that writes each finished span as one log line. */
final class LogSpanExporter implements SpanExporter {

    private static final Logger LOG = LoggerFactory.getLogger("io.pollenpath.trace");

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(LogSpanExporter::write);
        return CompletableResultCode.ofSuccess();
    }

    private static void write(SpanData span) {
        long durationNanos = span.getEndEpochNanos() - span.getStartEpochNanos();
        LogLine line =
                LogLine.event("span")
                        .with("trace", span.getTraceId())
                        .with("span", span.getSpanId())
                        .with("parent", span.getParentSpanId())
                        .with("name", span.getName())
                        .with("start_us", TimeUnit.NANOSECONDS.toMicros(span.getStartEpochNanos()))
                        .with("duration_us", TimeUnit.NANOSECONDS.toMicros(durationNanos));
        span.getAttributes().forEach((key, value) -> line.with(key.getKey(), value));
        LOG.info("{}", line);
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
