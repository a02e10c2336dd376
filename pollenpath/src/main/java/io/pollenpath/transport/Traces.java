package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Creates the spans of a process and propagates the W3C trace context between processes. */
public final class Traces implements AutoCloseable {

    /** The name of the header and field that contains the trace context. */
    public static final String TRACEPARENT = "traceparent";

    private static final int TRACEPARENT_FIELDS = 4;
    private static final long EXPORT_DELAY_MS = 500;
    private static final long CLOSE_TIMEOUT_MS = 2_000;
    private static final W3CTraceContextPropagator W3C = W3CTraceContextPropagator.getInstance();

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    /**
     * Starts tracing without published metrics.
     *
     * @param process the name of this process, not null
     * @param otlpEndpoint the URL of an OTLP collector; empty to write spans to the log
     */
    public Traces(String process, String otlpEndpoint) {
        this(process, otlpEndpoint, new MetricRegistry());
    }

    /**
     * Starts tracing, with metrics of the spans.
     *
     * @param process the name of this process, not null
     * @param otlpEndpoint the URL of an OTLP collector; empty to write spans to the log
     * @param metrics the registry for the metrics, not null
     */
    public Traces(String process, String otlpEndpoint, MetricRegistry metrics) {
        SpanExporter exporter =
                otlpEndpoint.isEmpty()
                        ? new LogSpanExporter()
                        : OtlpHttpSpanExporter.builder().setEndpoint(otlpEndpoint).build();
        AttributeKey<String> serviceName = AttributeKey.stringKey("service.name");
        provider =
                SdkTracerProvider.builder()
                        .setResource(Resource.create(Attributes.of(serviceName, process)))
                        .setSampler(new RecordingSampler(Sampler.parentBased(Sampler.alwaysOn())))
                        .addSpanProcessor(new SpanMetrics(metrics))
                        .addSpanProcessor(
                                BatchSpanProcessor.builder(exporter)
                                        .setScheduleDelay(EXPORT_DELAY_MS, TimeUnit.MILLISECONDS)
                                        .build())
                        .build();
        tracer = provider.get("pollenpath");
    }

    /**
     * Starts the span of a hop.
     *
     * @param name the name of the hop, not null
     * @param traceparent the trace context of the caller; a new trace starts if it is empty or
     *     malformed
     * @return the started span
     */
    public Span start(String name, String traceparent) {
        Context parent = W3C.extract(Context.root(), traceparent, Getter.INSTANCE);
        return tracer.spanBuilder(name).setParent(parent).startSpan();
    }

    /**
     * Returns the trace context of a span, to send to the next hop.
     *
     * @param span the span, not null
     * @return the value of the {@code traceparent} header
     */
    public static String traceparent(Span span) {
        Map<String, String> carrier = new HashMap<>();
        W3C.inject(Context.root().with(span), carrier, Map::put);
        return carrier.getOrDefault(TRACEPARENT, "");
    }

    /**
     * Returns the trace ID of a trace context, for log lines.
     *
     * @param traceparent the value of the {@code traceparent} header, not null
     * @return the trace ID; empty if the value is malformed
     */
    public static String traceId(String traceparent) {
        String[] fields = traceparent.split("-", -1);
        return fields.length < TRACEPARENT_FIELDS ? "" : fields[1];
    }

    /**
     * Returns an attribute of a span, for log lines.
     *
     * @param span the span, not null
     * @param key the key of the attribute, not null
     * @return the value; empty if it was not set or the span is not recorded
     */
    public static String attribute(Span span, String key) {
        String value =
                span instanceof ReadableSpan recorded
                        ? recorded.getAttribute(AttributeKey.stringKey(key))
                        : null;
        return value == null ? "" : value;
    }

    @Override
    public void close() {
        provider.shutdown().join(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private enum Getter implements TextMapGetter<String> {
        INSTANCE;

        @Override
        public Iterable<String> keys(String carrier) {
            return List.of(TRACEPARENT);
        }

        @Override
        public String get(String carrier, String key) {
            return TRACEPARENT.equals(key) ? carrier : null;
        }
    }
}
