package io.pollenpath.coordination.queue;

/** Moving average of the time that a backend server takes per token of work. */
final class ServiceRate {

    private static final double SAMPLE_WEIGHT = 0.05;
    private static final double NANOS_PER_SECOND = 1e9;

    private double nanosPerToken;

    /** Adds one completed run to the average. */
    void record(int costTokens, long durationNanos) {
        double sample = (double) Math.max(0, durationNanos) / Math.max(1, costTokens);
        nanosPerToken =
                nanosPerToken == 0
                        ? sample
                        : nanosPerToken + SAMPLE_WEIGHT * (sample - nanosPerToken);
    }

    /** Returns the expected duration of a run of that work, 0 before the first sample. */
    double nanosFor(double tokens) {
        return tokens * nanosPerToken;
    }

    /** Returns the throughput of that many concurrent runs, 0 before the first sample. */
    double tokensPerSecond(int slots) {
        return nanosPerToken == 0 ? 0 : slots * NANOS_PER_SECOND / nanosPerToken;
    }
}
