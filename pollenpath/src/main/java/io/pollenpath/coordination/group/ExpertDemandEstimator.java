package io.pollenpath.coordination.group;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how often the router selects each expert, from the counts that ranks report. A shift of
 * the demand is followed with the first sample that shows it: this sample still contains some of
 * the old demand, but names the experts that are in more demand now.
 */
public final class ExpertDemandEstimator {

    /** Weight of a new sample in the moving average while the demand is steady, from 0 to 1. */
    private static final double SMOOTHING_WEIGHT = 0.2;

    /** L1 distance of two distributions, from 0 to 2, above which the demand has shifted. */
    private static final double SHIFT_THRESHOLD = 0.42;

    /** Minimum selections in each set of layers of a sample; a smaller sample is too noisy. */
    private static final double MIN_SELECTIONS = 200;

    /** Minimum time between two samples; shorter ones consist of too few requests. */
    private static final long MIN_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final int layers;
    private final int experts;
    private final double[][] pendingCounts;
    private final double[][] shares;
    private boolean initialized;
    private long lastSampleNanos;
    private long samplesSinceShift;
    private long shifts;
    private long samples;

    /**
     * Creates an estimator without samples.
     *
     * @param layers the number of sets of layers
     * @param experts the number of experts in each set
     */
    public ExpertDemandEstimator(int layers, int experts) {
        this.layers = layers;
        this.experts = experts;
        pendingCounts = new double[layers][experts];
        shares = new double[layers][experts];
    }

    /**
     * Adds the counts of one rank since its previous report to the next sample.
     *
     * @param counts how often each expert was selected, set of layers by set of layers, not null;
     *     ignored unless there is one count for each expert of each set
     */
    public void addCounts(long[] counts) {
        if (counts.length != layers * experts) {
            return;
        }
        for (int i = 0; i < counts.length; i++) {
            pendingCounts[i / experts][i % experts] += counts[i];
        }
    }

    /**
     * Updates the estimate from the counts added so far, if they are enough for a sample.
     *
     * @param nowNanos the current time
     */
    public void update(long nowNanos) {
        if (initialized && nowNanos - lastSampleNanos < MIN_SAMPLE_NANOS) {
            return;
        }
        double[] totals = new double[layers];
        for (int layer = 0; layer < layers; layer++) {
            for (double count : pendingCounts[layer]) {
                totals[layer] += count;
            }
            if (totals[layer] < MIN_SELECTIONS) {
                return;
            }
        }
        double[][] sample = new double[layers][experts];
        for (int layer = 0; layer < layers; layer++) {
            for (int expert = 0; expert < experts; expert++) {
                sample[layer][expert] = pendingCounts[layer][expert] / totals[layer];
                pendingCounts[layer][expert] = 0;
            }
        }
        lastSampleNanos = nowNanos;
        applySample(sample);
    }

    private void applySample(double[][] sample) {
        boolean replacesMixedSample = initialized && samplesSinceShift == 1;
        boolean differs = !initialized || distance(sample, shares) > SHIFT_THRESHOLD;
        if (differs && !replacesMixedSample) {
            initialized = true;
            samplesSinceShift = 0;
            shifts++;
        }
        blend(sample, weightOfSample());
        samplesSinceShift++;
        samples++;
    }

    /**
     * Returns the weight of the next sample. The first sample after a shift contains some of the
     * old demand, so the second one replaces it; the next ones count as much as those before them.
     */
    private double weightOfSample() {
        return samplesSinceShift <= 1 ? 1 : Math.max(SMOOTHING_WEIGHT, 1.0 / samplesSinceShift);
    }

    private double distance(double[][] one, double[][] other) {
        double sum = 0;
        for (int layer = 0; layer < layers; layer++) {
            for (int expert = 0; expert < experts; expert++) {
                sum += Math.abs(one[layer][expert] - other[layer][expert]);
            }
        }
        return sum / layers;
    }

    private void blend(double[][] sample, double weight) {
        for (int layer = 0; layer < layers; layer++) {
            for (int expert = 0; expert < experts; expert++) {
                double change = sample[layer][expert] - shares[layer][expert];
                shares[layer][expert] += weight * change;
            }
        }
    }

    /**
     * Returns whether there is an estimate to plan a map with.
     *
     * @return false before the first sample
     */
    public boolean isKnown() {
        return initialized;
    }

    /**
     * Returns the number of samples so far.
     *
     * @return the number; the shares change only when it rises
     */
    public long samples() {
        return samples;
    }

    /**
     * Returns the number of shifts that the estimate has followed.
     *
     * @return the number; the first sample counts as a shift
     */
    public long shifts() {
        return shifts;
    }

    /**
     * Returns the share of each expert in the selections of its set of layers.
     *
     * @return a share from 0 to 1 for each set of layers and expert; a copy
     */
    public double[][] shares() {
        double[][] copy = new double[layers][];
        for (int layer = 0; layer < layers; layer++) {
            copy[layer] = shares[layer].clone();
        }
        return copy;
    }
}
