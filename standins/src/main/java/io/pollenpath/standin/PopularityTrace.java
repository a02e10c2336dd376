package io.pollenpath.standin;

import java.util.Random;

/**
 * Generates a synthetic trace of expert popularity from a seed: the fraction of tokens that each
 * expert of a layer receives, in intervals of 10 s.
 *
 * <p>Two traffic mixes alternate over a daily cycle, and a third one replaces a fraction of both
 * from one point of the trace on. Each expert also drifts by a mean-reverting random walk, and
 * short bursts raise the popularity of a few experts of a layer.
 */
public final class PopularityTrace {

    private static final double BASE_SIGMA = 0.7;
    private static final double DRIFT_SIGMA = 0.35;
    private static final double DRIFT_PULL = 1.0 / 720;
    private static final double BURST_CHANCE = 1.0 / 360;
    private static final double BURST_FACTOR = 1.0;
    private static final int BURST_INTERVALS = 90;
    private static final int BURST_EXPERTS = 8;
    private static final double NEW_MIX_AT = 0.6;
    private static final double NEW_MIX_SHARE = 0.5;
    private static final int NEW_MIX_INTERVALS = 30;

    private final Random random;
    private final int intervals;
    private final int experts;
    private final double[][][] mixes;
    private final double[][] drift;
    private final double[][] burst;
    private final int[] burstLeft;
    private int interval;

    /**
     * Creates a trace that is at its first interval.
     *
     * @param seed the seed
     * @param layers the number of layers
     * @param experts the number of experts per layer
     * @param intervals the length of the trace and of the daily cycle, in intervals
     */
    public PopularityTrace(long seed, int layers, int experts, int intervals) {
        random = new Random(seed);
        this.experts = experts;
        this.intervals = intervals;
        mixes = new double[3][layers][experts];
        for (double[][] mix : mixes) {
            for (double[] layer : mix) {
                for (int expert = 0; expert < experts; expert++) {
                    layer[expert] = Math.exp(BASE_SIGMA * random.nextGaussian());
                }
            }
        }
        drift = new double[layers][experts];
        burst = new double[layers][experts];
        burstLeft = new int[layers];
    }

    /**
     * Returns the popularity in the current interval and advances by one interval.
     *
     * @return for each layer the fraction of its tokens that each expert receives; the fractions of
     *     a layer add up to 1
     */
    public double[][] next() {
        double dayFraction = 0.5 - 0.5 * Math.cos(2 * Math.PI * interval / intervals);
        double newFraction = newMixShare();
        double[][] fractions = new double[drift.length][experts];
        for (int layer = 0; layer < fractions.length; layer++) {
            advanceDrift(drift[layer]);
            advanceBurst(layer);
            fill(fractions[layer], layer, dayFraction, newFraction);
        }
        interval++;
        return fractions;
    }

    private double newMixShare() {
        double intervalsSinceStart = interval - NEW_MIX_AT * intervals;
        return NEW_MIX_SHARE * Math.min(1, Math.max(0, intervalsSinceStart / NEW_MIX_INTERVALS));
    }

    private void advanceDrift(double[] values) {
        double noise = DRIFT_SIGMA * Math.sqrt(2 * DRIFT_PULL);
        for (int expert = 0; expert < experts; expert++) {
            values[expert] += -DRIFT_PULL * values[expert] + noise * random.nextGaussian();
        }
    }

    private void advanceBurst(int layer) {
        if (burstLeft[layer] > 0) {
            burstLeft[layer]--;
        } else {
            burst[layer] = new double[experts];
            if (random.nextDouble() < BURST_CHANCE) {
                burstLeft[layer] = BURST_INTERVALS;
                for (int i = 0; i < BURST_EXPERTS; i++) {
                    burst[layer][random.nextInt(experts)] = BURST_FACTOR;
                }
            }
        }
    }

    private void fill(double[] fractions, int layer, double dayFraction, double newFraction) {
        double total = 0;
        for (int expert = 0; expert < experts; expert++) {
            double dailyMix =
                    dayFraction * mixes[0][layer][expert]
                            + (1 - dayFraction) * mixes[1][layer][expert];
            double mixed = (1 - newFraction) * dailyMix + newFraction * mixes[2][layer][expert];
            double factor = Math.exp(drift[layer][expert]) * (1 + burst[layer][expert]);
            fractions[expert] = mixed * factor;
            total += fractions[expert];
        }
        for (int expert = 0; expert < experts; expert++) {
            fractions[expert] /= total;
        }
    }
}
