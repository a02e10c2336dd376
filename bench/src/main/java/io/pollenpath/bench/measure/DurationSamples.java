package io.pollenpath.bench.measure;

import java.util.Arrays;
import org.agrona.collections.LongArrayList;

/** A collection of durations with quantiles. */
final class DurationSamples {

    private static final double NANOS_PER_MS = 1e6;

    private final LongArrayList nanos = new LongArrayList();

    void add(long durationNanos) {
        nanos.addLong(durationNanos);
    }

    void addAll(DurationSamples other) {
        nanos.addAll(other.nanos);
    }

    int count() {
        return nanos.size();
    }

    /**
     * Returns a quantile by the nearest-rank method.
     *
     * @param quantile the quantile, from 0 to 1
     * @return the duration in milliseconds; NaN if there are no samples
     */
    double quantileMs(double quantile) {
        if (nanos.isEmpty()) {
            return Double.NaN;
        }
        long[] sorted = nanos.toLongArray();
        Arrays.sort(sorted);
        int rank = (int) Math.ceil(quantile * sorted.length);
        return sorted[Math.max(0, rank - 1)] / NANOS_PER_MS;
    }
}
