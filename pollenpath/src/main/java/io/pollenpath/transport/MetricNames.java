package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import java.util.Objects;

/**
 * Builds the names under which metrics are registered. The registry has no labels, so a name
 * includes them.
 */
public final class MetricNames {

    private static final int MAX_SERIES = 1_000;
    private static final String OTHER = "other";

    private MetricNames() {}

    /**
     * Returns the name of one time series.
     *
     * @param family the metric family, not null
     * @param label the label name, not null
     * @param value the label value; {@code none} is used if null or empty
     * @return {@code family{label="value"}}
     */
    public static String of(String family, String label, String value) {
        Objects.requireNonNull(family, "family");
        String text = value == null || value.isEmpty() ? "none" : value;
        return family + "{" + label + "=\"" + escape(text) + "\"}";
    }

    /**
     * Increments the counter of a time series. If the registry already has its maximum number of
     * metrics, a series that does not exist yet is counted under the label value {@code other}.
     *
     * @param metrics the registry of the counter, not null
     * @param family the metric family, not null
     * @param label the label name, not null
     * @param value the label value; {@code none} is used if null or empty
     */
    public static void count(MetricRegistry metrics, String family, String label, String value) {
        String name = of(family, label, value);
        boolean known = metrics.getMetrics().containsKey(name);
        boolean full = !known && metrics.getMetrics().size() >= MAX_SERIES;
        metrics.counter(full ? of(family, label, OTHER) : name).inc();
    }

    private static String escape(String text) {
        return text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
