package io.pollenpath.transport;

import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.data.LinkData;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import io.opentelemetry.sdk.trace.samplers.SamplingDecision;
import io.opentelemetry.sdk.trace.samplers.SamplingResult;
import java.util.List;

/** Records every span, for metrics, but exports only those that the wrapped sampler selects. */
final class RecordingSampler implements Sampler {

    private final Sampler exportSampler;

    RecordingSampler(Sampler exportSampler) {
        this.exportSampler = exportSampler;
    }

    @Override
    public SamplingResult shouldSample(
            Context parent,
            String traceId,
            String name,
            SpanKind kind,
            Attributes attributes,
            List<LinkData> links) {
        SamplingResult result =
                exportSampler.shouldSample(parent, traceId, name, kind, attributes, links);
        return result.getDecision() == SamplingDecision.DROP ? SamplingResult.recordOnly() : result;
    }

    @Override
    public String getDescription() {
        return "RecordingSampler{" + exportSampler.getDescription() + "}";
    }
}
