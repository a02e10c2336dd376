package io.pollenpath.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Collects the spans of one trace from log lines and prints the duration of each span. */
final class TraceReport {

    private static final Pattern KEY_VALUE = Pattern.compile("(\\w+)=(\"[^\"]*\"|\\S*)");

    /** A span of the trace; its times are in microseconds. */
    record Span(
            String spanId,
            String parentId,
            String name,
            String server,
            long startUs,
            long durationUs) {}

    private final String traceId;
    private final List<Span> spans;

    private TraceReport(String traceId, List<Span> spans) {
        this.traceId = traceId;
        this.spans = spans;
    }

    static TraceReport of(String traceId, List<String> lines) {
        List<Span> spans = new ArrayList<>();
        for (String line : lines) {
            if (line.contains("event=span ") && line.contains("trace=" + traceId)) {
                spans.add(parseSpan(line));
            }
        }
        spans.sort(Comparator.comparingLong(Span::startUs));
        return new TraceReport(traceId, spans);
    }

    private static Span parseSpan(String line) {
        Matcher matcher = KEY_VALUE.matcher(line);
        Map<String, String> pairs =
                matcher.results()
                        .collect(
                                Collectors.toMap(
                                        m -> m.group(1),
                                        m -> m.group(2),
                                        (first, second) -> first));
        return new Span(
                pairs.get("span"),
                pairs.get("parent"),
                pairs.get("name"),
                pairs.getOrDefault("server", "-"),
                Long.parseLong(pairs.get("start_us")),
                Long.parseLong(pairs.get("duration_us")));
    }

    String traceId() {
        return traceId;
    }

    int spanCount() {
        return spans.size();
    }

    void print(PrintStream out) {
        if (spans.isEmpty()) {
            return;
        }
        long traceStartUs = spans.get(0).startUs();
        for (Span span : spans) {
            out.printf(
                    "  span=%s server=%s start_ms=%.3f took_ms=%.3f own_ms=%.3f%n",
                    span.name(),
                    span.server(),
                    (span.startUs() - traceStartUs) / 1_000.0,
                    span.durationUs() / 1_000.0,
                    selfTimeUs(span) / 1_000.0);
        }
    }

    /** Returns the duration of a span less that of its child spans, at least 0. */
    private long selfTimeUs(Span span) {
        long childDurationsUs =
                spans.stream()
                        .filter(other -> other.parentId().equals(span.spanId()))
                        .mapToLong(Span::durationUs)
                        .sum();
        return Math.max(0, span.durationUs() - childDurationsUs);
    }
}
