package io.pollenpath.coordination.group;

/** Estimates how often each expert is chosen from what the ranks counted. */
public final class ExpertDemand {

    /** The weight of a sample while the demand is steady. */
    private static final double STEADY_WEIGHT = 0.2;

    /** The distance between two sets of shares, from 0 to 2, that counts as a shift. */
    private static final double SHIFT_DISTANCE = 0.42;

    /** Fewer choices than this in one set of layers say too little. */
    private static final double MIN_CHOICES = 200;

    private final int layers;
    private final int experts;
    private final double[][] fresh;
    private final double[][] shares;
    private double[][] last;
    private boolean known;
    private boolean shifting;
    private long shifts;
    private long samples;

    /**
     * Creates an estimate without reports.
     *
     * @param layers the sets of layers
     * @param experts the experts of each set
     */
    public ExpertDemand(int layers, int experts) {
        this.layers = layers;
        this.experts = experts;
        fresh = new double[layers][experts];
        shares = new double[layers][experts];
    }

    /**
     * Takes what one rank counted since it was asked before.
     *
     * @param counts how often each expert was chosen, set by set, not null; left out if there are
     *     more or fewer than experts
     */
    public void onCounts(long[] counts) {
        if (counts.length != layers * experts) {
            return;
        }
        for (int i = 0; i < counts.length; i++) {
            fresh[i / experts][i % experts] += counts[i];
        }
    }

    /** Takes what was counted since the last call into the estimate, if it is enough. */
    public void fold() {
        double[] totals = new double[layers];
        for (int layer = 0; layer < layers; layer++) {
            for (double count : fresh[layer]) {
                totals[layer] += count;
            }
            if (totals[layer] < MIN_CHOICES) {
                return;
            }
        }
        double[][] sample = new double[layers][experts];
        for (int layer = 0; layer < layers; layer++) {
            for (int expert = 0; expert < experts; expert++) {
                sample[layer][expert] = fresh[layer][expert] / totals[layer];
                fresh[layer][expert] = 0;
            }
        }
        take(sample);
    }

    /** A sample from the middle of a shift mixes both demands, so two that agree are waited for. */
    private void take(double[][] sample) {
        boolean agrees = known && distance(sample, shares) <= SHIFT_DISTANCE;
        if (agrees) {
            mix(sample, STEADY_WEIGHT);
            shifting = false;
        } else if (!known || (shifting && distance(sample, last) <= SHIFT_DISTANCE)) {
            mix(sample, 1);
            known = true;
            shifting = false;
            shifts++;
        } else {
            shifting = true;
        }
        last = sample;
        samples++;
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

    private void mix(double[][] sample, double weight) {
        for (int layer = 0; layer < layers; layer++) {
            for (int expert = 0; expert < experts; expert++) {
                double change = sample[layer][expert] - shares[layer][expert];
                shares[layer][expert] += weight * change;
            }
        }
    }

    /**
     * Tells whether the estimate may be planned with.
     *
     * @return false before enough was counted, and while the demand is shifting
     */
    public boolean isSteady() {
        return known && !shifting;
    }

    /**
     * Counts the samples taken.
     *
     * @return the number; while it stays the same, so do the shares
     */
    public long samples() {
        return samples;
    }

    /**
     * Counts the shifts seen.
     *
     * @return the number; it rises when the estimate follows a shift
     */
    public long shifts() {
        return shifts;
    }

    /**
     * Returns the share of each expert in the choices of its set.
     *
     * @return for each set of layers and expert a share from 0 to 1; a copy
     */
    public double[][] shares() {
        double[][] copy = new double[layers][];
        for (int layer = 0; layer < layers; layer++) {
            copy[layer] = shares[layer].clone();
        }
        return copy;
    }
}
