package io.pollenpath.coordination.group;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how often each expert is chosen from the counters of the ranks. A rank that started
 * again counts from zero; its first report after that is taken as it is.
 */
public final class ExpertDemand {

    /** The weight of a sample while the demand is steady. */
    private static final double STEADY_WEIGHT = 0.2;

    /** The weight of a sample that shows a shift, and of the one after it. */
    private static final double SHIFT_WEIGHT = 0.8;

    /** The distance between old and new shares, from 0 to 2, that counts as a shift. */
    private static final double SHIFT_DISTANCE = 0.25;

    /** Fewer choices than this in one set of layers say too little. */
    private static final double MIN_CHOICES = 200;

    private final int layers;
    private final int experts;
    private final Map<Integer, long[]> lastCounts = new HashMap<>();
    private final double[][] fresh;
    private final double[][] shares;
    private boolean known;

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
     * Takes the counters of a rank.
     *
     * @param rank the rank
     * @param counts the counters, set by set, not null
     */
    public void onCounts(int rank, long[] counts) {
        if (counts.length != layers * experts) {
            return;
        }
        long[] before = lastCounts.put(rank, counts);
        for (int i = 0; i < counts.length; i++) {
            long old = before == null ? counts[i] : before[i];
            long grown = counts[i] >= old ? counts[i] - old : counts[i];
            fresh[i / experts][i % experts] += grown;
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
        for (int layer = 0; layer < layers; layer++) {
            foldLayer(layer, totals[layer]);
        }
        known = true;
    }

    private void foldLayer(int layer, double total) {
        double distance = 0;
        for (int expert = 0; expert < experts; expert++) {
            distance += Math.abs(fresh[layer][expert] / total - shares[layer][expert]);
        }
        double weight = !known ? 1 : distance > SHIFT_DISTANCE ? SHIFT_WEIGHT : STEADY_WEIGHT;
        for (int expert = 0; expert < experts; expert++) {
            double share = fresh[layer][expert] / total;
            shares[layer][expert] += weight * (share - shares[layer][expert]);
            fresh[layer][expert] = 0;
        }
    }

    /**
     * Tells whether enough was counted for an estimate.
     *
     * @return true once {@link #shares} means something
     */
    public boolean isKnown() {
        return known;
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
