package io.pollenpath.transport;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Formats metrics in the Prometheus text format. HELP and TYPE lines occur once for each family.
 */
final class PrometheusText {

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final String PREFIX = "pollenpath_";
    private static final String TOTAL = "_total";

    private final StringBuilder text = new StringBuilder();

    private PrometheusText() {}

    static String format(MetricRegistry metrics) {
        PrometheusText formatter = new PrometheusText();
        Map<String, Map<String, Metric>> families = new TreeMap<>();
        metrics.getMetrics()
                .forEach(
                        (name, metric) ->
                                families.computeIfAbsent(
                                                familyOf(name, metric), f -> new TreeMap<>())
                                        .put(labelsOf(name), metric));
        families.forEach(formatter::appendFamily);
        return formatter.text.toString();
    }

    private static String familyOf(String name, Metric metric) {
        int brace = name.indexOf('{');
        String nameWithoutLabels = brace < 0 ? name : name.substring(0, brace);
        String family = nameWithoutLabels.replaceAll("[^a-zA-Z0-9_]", "_");
        boolean needsSuffix = metric instanceof Meter && !family.endsWith(TOTAL);
        return needsSuffix ? family + TOTAL : family;
    }

    private static String labelsOf(String name) {
        int brace = name.indexOf('{');
        return brace < 0 ? "" : name.substring(brace + 1, name.length() - 1);
    }

    private void appendFamily(String family, Map<String, Metric> series) {
        Metric first = series.values().iterator().next();
        String help = MetricHelp.of(family);
        text.append("# HELP ").append(PREFIX).append(family).append(' ').append(help).append('\n');
        text.append("# TYPE ").append(PREFIX).append(family).append(' ');
        text.append(typeOf(family, first)).append('\n');
        series.forEach((labels, metric) -> appendMetric(family, labels, metric));
    }

    private static String typeOf(String family, Metric metric) {
        if (metric instanceof Sampling) {
            return "summary";
        }
        return family.endsWith(TOTAL) ? "counter" : "gauge";
    }

    private void appendMetric(String family, String labels, Metric metric) {
        if (metric instanceof Sampling sampling) {
            double unit = metric instanceof Timer ? NANOS_PER_SECOND : 1;
            Snapshot snapshot = sampling.getSnapshot();
            appendQuantile(family, labels, "0.5", snapshot.getMedian() / unit);
            appendQuantile(family, labels, "0.95", snapshot.get95thPercentile() / unit);
            appendQuantile(family, labels, "0.99", snapshot.get99thPercentile() / unit);
            appendLine(family + "_count", labels, Long.toString(((Counting) metric).getCount()));
        } else if (metric instanceof Counting counting) {
            appendLine(family, labels, Long.toString(counting.getCount()));
        } else if (metric instanceof Gauge<?> gauge) {
            appendGauge(family, labels, gauge.getValue());
        }
    }

    private void appendGauge(String family, String labels, Object value) {
        if (value instanceof Number number) {
            appendLine(family, labels, number.toString());
        } else if (value instanceof Boolean flag) {
            appendLine(family, labels, flag ? "1" : "0");
        }
    }

    private void appendQuantile(String family, String labels, String quantile, double value) {
        String separator = labels.isEmpty() ? "" : ",";
        String allLabels = labels + separator + "quantile=\"" + quantile + "\"";
        appendLine(family, allLabels, Double.toString(value));
    }

    private void appendLine(String family, String labels, String value) {
        text.append(PREFIX).append(family);
        if (!labels.isEmpty()) {
            text.append('{').append(labels).append('}');
        }
        text.append(' ').append(value).append('\n');
    }
}
