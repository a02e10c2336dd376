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

    private static final double MIX_LOG_SIGMA = 0.7;
    private static final double DRIFT_LOG_SIGMA = 0.35;
    private static final double DRIFT_REVERSION_RATE = 1.0 / 720; // per interval
    private static final double BURST_PROBABILITY = 1.0 / 360; // per layer and interval
    private static final double BURST_BOOST = 1.0;
    private static final int BURST_INTERVALS = 90;
    private static final int EXPERTS_PER_BURST = 8;
    private static final double NEW_MIX_START_FRACTION = 0.6; // of the trace length
    private static final double NEW_MIX_FRACTION = 0.5;
    private static final int NEW_MIX_RAMP_INTERVALS = 30;

    private final Random random;
    private final int intervals;
    private final int experts;
    private final double[][][] mixes;
    private final double[][] drift;
    private final double[][] burstBoost;
    private final int[] burstIntervalsLeft;
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
                    layer[expert] = Math.exp(MIX_LOG_SIGMA * random.nextGaussian());
                }
            }
        }
        drift = new double[layers][experts];
        burstBoost = new double[layers][experts];
        burstIntervalsLeft = new int[layers];
    }

    /**
     * Returns the popularity in the current interval and advances by one interval.
     *
     * @return for each layer the fraction of its tokens that each expert receives; the fractions of
     *     a layer add up to 1
     */
    public double[][] next() {
        double dayFraction = 0.5 - 0.5 * Math.cos(2 * Math.PI * interval / intervals);
        double newFraction = newMixFraction();
        double[][] fractions = new double[drift.length][experts];
        for (int layer = 0; layer < fractions.length; layer++) {
            advanceDrift(drift[layer]);
            advanceBurst(layer);
            fillFractions(fractions[layer], layer, dayFraction, newFraction);
        }
        interval++;
        return fractions;
    }

    private double newMixFraction() {
        double intervalsSinceNewMix = interval - NEW_MIX_START_FRACTION * intervals;
        return NEW_MIX_FRACTION
                * Math.min(1, Math.max(0, intervalsSinceNewMix / NEW_MIX_RAMP_INTERVALS));
    }

    private void advanceDrift(double[] values) {
        double noise = DRIFT_LOG_SIGMA * Math.sqrt(2 * DRIFT_REVERSION_RATE);
        for (int expert = 0; expert < experts; expert++) {
            values[expert] +=
                    -DRIFT_REVERSION_RATE * values[expert] + noise * random.nextGaussian();
        }
    }

    private void advanceBurst(int layer) {
        if (burstIntervalsLeft[layer] > 0) {
            burstIntervalsLeft[layer]--;
        } else {
            burstBoost[layer] = new double[experts];
            if (random.nextDouble() < BURST_PROBABILITY) {
                burstIntervalsLeft[layer] = BURST_INTERVALS;
                for (int i = 0; i < EXPERTS_PER_BURST; i++) {
                    burstBoost[layer][random.nextInt(experts)] = BURST_BOOST;
                }
            }
        }
    }

    private void fillFractions(
            double[] fractions, int layer, double dayFraction, double newFraction) {
        double total = 0;
        for (int expert = 0; expert < experts; expert++) {
            double dailyMix =
                    dayFraction * mixes[0][layer][expert]
                            + (1 - dayFraction) * mixes[1][layer][expert];
            double mixed = (1 - newFraction) * dailyMix + newFraction * mixes[2][layer][expert];
            double factor = Math.exp(drift[layer][expert]) * (1 + burstBoost[layer][expert]);
            fractions[expert] = mixed * factor;
            total += fractions[expert];
        }
        for (int expert = 0; expert < experts; expert++) {
            fractions[expert] /= total;
        }
    }
}
