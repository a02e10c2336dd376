package io.pollenpath.bench.measure;

import java.util.Arrays;

/** The minimum, maximum and mean of a series of values; NaN without values. */
final class SummaryStatistics {

    private double[] values = new double[0];

    void add(double value) {
        values = Arrays.copyOf(values, values.length + 1);
        values[values.length - 1] = value;
    }

    double min() {
        return Arrays.stream(values).min().orElse(Double.NaN);
    }

    double max() {
        return Arrays.stream(values).max().orElse(Double.NaN);
    }

    double mean() {
        return Arrays.stream(values).average().orElse(Double.NaN);
    }
}
