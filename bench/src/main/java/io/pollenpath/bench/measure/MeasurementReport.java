package io.pollenpath.bench.measure;

import java.io.PrintStream;
import java.util.Locale;

/** Prints the results of one measurement and records whether every target was met. */
public final class MeasurementReport {

    private final String name;
    private final long seed;
    private final PrintStream out;
    private boolean allMet = true;

    /**
     * Creates a report.
     *
     * @param name the name of the measurement, not null
     * @param seed the random seed, printed at the end of each line
     * @param out the stream to print to, not null
     */
    public MeasurementReport(String name, long seed, PrintStream out) {
        this.name = name;
        this.seed = seed;
        this.out = out;
    }

    /**
     * Prints a line of metrics.
     *
     * @param pairs alternating keys and values; a {@code Double} is printed with at most four
     *     decimals
     */
    public void printMetrics(Object... pairs) {
        out.println("measure=" + name + formatPairs(pairs) + " seed=" + seed);
    }

    /**
     * Prints a metric whose target is an upper bound, and whether it was met.
     *
     * @param key the name of the metric, not null
     * @param value the measured value
     * @param limit the largest value that meets the target
     */
    public void checkAtMost(String key, double value, double limit) {
        checkTarget(key, value, "at_most", limit, value <= limit);
    }

    /**
     * Prints a metric whose target is a lower bound, and whether it was met.
     *
     * @param key the name of the metric, not null
     * @param value the measured value
     * @param limit the smallest value that meets the target
     */
    public void checkAtLeast(String key, double value, double limit) {
        checkTarget(key, value, "at_least", limit, value >= limit);
    }

    private void checkTarget(String key, double value, String relation, double limit, boolean met) {
        allMet &= met;
        String status = met ? "met" : "missed";
        printMetrics(key, value, relation, limit, "policy", "chosen", "target", status);
    }

    /**
     * Returns whether every target was met.
     *
     * @return true if none was missed
     */
    public boolean allMet() {
        return allMet;
    }

    private static String formatPairs(Object... pairs) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            text.append(' ').append(pairs[i]).append('=').append(format(pairs[i + 1]));
        }
        return text.toString();
    }

    private static String format(Object value) {
        if (value instanceof Double number) {
            return String.format(Locale.ROOT, "%.4f", number).replaceFirst("\\.?0+$", "");
        }
        return String.valueOf(value);
    }
}
