package io.pollenpath.bench.measure;

import io.pollenpath.coordination.experts.ExpertPolicies;
import io.pollenpath.coordination.experts.LayerPlacement;
import io.pollenpath.coordination.experts.LoadSplit;
import io.pollenpath.coordination.experts.PopularityEstimator;
import io.pollenpath.coordination.experts.RebalancePolicy;
import io.pollenpath.standin.PopularityTrace;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Simulates expert placement over one trace of expert popularity: ranks report token counts late
 * and with losses, a policy plans placements from the forecast, and planned moves take effect once
 * the expert weights have been fetched.
 */
final class ExpertPlacementRun {

    private static final int LAYERS = 4;
    private static final int INTERVALS = 2_880;
    private static final int INTERVAL_MS = 10_000;
    private static final int INTERVALS_PER_PLAN = 3;
    private static final double STEP_MS = 4.5;
    private static final double EXPERT_GB = 0.044;
    private static final int MODEL_LAYERS = 60;
    private static final double FETCHED_GB_PER_INTERVAL = 20;
    private static final long TOKENS_PER_INTERVAL = 2_700_000;
    private static final double REPORT_LOSS_FRACTION = 0.1;

    /** Standard deviation of the log-normal weight of an expert's tokens on one rank. */
    private static final double RANK_LOG_STDDEV = 0.2;

    private static final int PLANNER_WARM_UP_RUNS = 6;
    private static final int PLANNER_RUNS = 9;

    /**
     * The metrics of one run. Skew is the load of the busiest rank divided by the mean load.
     *
     * @param skewMean the mean skew over all intervals
     * @param skewP50 the median skew
     * @param skewP99 the 99th percentile of the skew
     * @param forecastSkew the mean skew that the forecast predicts for the placement
     * @param movedGb the expert weights moved, in GB, scaled up to a model of 60 layers
     * @param delayedSteps the engine steps that fit into the time spent fetching the moved weights
     */
    record Result(
            double skewMean,
            double skewP50,
            double skewP99,
            double forecastSkew,
            double movedGb,
            double delayedSteps) {}

    private final long seed;
    private final int ranks;
    private final int experts;
    private final Random random;

    ExpertPlacementRun(long seed, int ranks, int experts) {
        this.seed = seed;
        this.ranks = ranks;
        this.experts = experts;
        random = new Random(seed ^ 0x5eed);
    }

    /** Returns the metrics of a policy over the whole trace. */
    Result run(RebalancePolicy policy) {
        PopularityTrace trace = new PopularityTrace(seed, LAYERS, experts, INTERVALS);
        Layer[] layers = new Layer[LAYERS];
        Arrays.setAll(layers, i -> new Layer(ranks, experts, random));
        double[] skews = new double[INTERVALS];
        double moves = 0;
        double forecastSkewSum = 0;
        for (int interval = 0; interval < INTERVALS; interval++) {
            double[][] shares = trace.next();
            double busiestRankLoad = 0;
            for (int i = 0; i < LAYERS; i++) {
                layers[i].installStaged(interval);
                busiestRankLoad += layers[i].maxRankLoad(shares[i]);
                layers[i].report(shares[i], random);
                moves += layers[i].plan(policy, interval);
                forecastSkewSum += layers[i].forecastSkew;
            }
            skews[interval] = busiestRankLoad / LAYERS;
        }
        double movedGb = moves * MODEL_LAYERS / LAYERS * EXPERT_GB;
        double stagingMs = movedGb / FETCHED_GB_PER_INTERVAL * INTERVAL_MS;
        double skewMean = Arrays.stream(skews).average().orElse(0);
        Arrays.sort(skews);
        return new Result(
                skewMean,
                skews[INTERVALS / 2],
                skews[INTERVALS * 99 / 100],
                forecastSkewSum / INTERVALS / LAYERS,
                movedGb,
                stagingMs / STEP_MS);
    }

    /** Returns the median time to plan all layers of a model once, in milliseconds. */
    static double medianPlanningMs(long seed, int ranks, int experts, int layerCount) {
        PopularityTrace trace = new PopularityTrace(seed, layerCount, experts, INTERVALS);
        RebalancePolicy policy = ExpertPolicies.lowSkew();
        Layer[] layers = new Layer[layerCount];
        Random random = new Random(seed);
        Arrays.setAll(layers, i -> new Layer(ranks, experts, random));
        double[] timesMs = new double[PLANNER_RUNS];
        for (int run = -PLANNER_WARM_UP_RUNS; run < PLANNER_RUNS; run++) {
            double[][] shares = trace.next();
            for (int i = 0; i < layerCount; i++) {
                layers[i].installStaged(Integer.MAX_VALUE);
                layers[i].report(shares[i], random);
            }
            long startNanos = System.nanoTime();
            for (Layer layer : layers) {
                layer.plan(policy, 0);
            }
            long elapsedNanos = System.nanoTime() - startNanos;
            if (run >= 0) {
                timesMs[run] = elapsedNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
            }
        }
        Arrays.sort(timesMs);
        return timesMs[PLANNER_RUNS / 2];
    }

    /**
     * The state of one model layer: the effective placement, the placement whose weights are being
     * fetched, and the token counts that have not been delivered yet.
     */
    private static final class Layer {
        private final int ranks;
        private final PopularityEstimator estimator;
        private LayerPlacement placement;
        private double[] slotShares;
        private double forecastSkew;
        private LayerPlacement staged;
        private int installInterval;
        private long[] undeliveredCounts;
        private final double[][] rankTokenWeights;

        Layer(int ranks, int experts, Random random) {
            this.ranks = ranks;
            rankTokenWeights = new double[ranks][experts];
            for (double[] rank : rankTokenWeights) {
                Arrays.setAll(rank, e -> Math.exp(RANK_LOG_STDDEV * random.nextGaussian()));
            }
            estimator = ExpertPolicies.estimator(experts);
            placement =
                    LayerPlacement.roundRobin(
                            ranks, experts, ExpertPolicies.slotsPerRank(ranks, experts));
            slotShares = new double[placement.slots()];
            splitEvenly();
        }

        /** Splits the tokens of each expert evenly between its replicas. */
        private void splitEvenly() {
            int[] replicas = new int[placement.experts()];
            for (int slot = 0; slot < slotShares.length; slot++) {
                replicas[placement.expertOf(slot)]++;
            }
            for (int slot = 0; slot < slotShares.length; slot++) {
                slotShares[slot] = 1.0 / replicas[placement.expertOf(slot)];
            }
        }

        /**
         * Makes the staged placement effective once the interval is reached at which it is fetched.
         */
        void installStaged(int interval) {
            if (staged != null && interval >= installInterval) {
                placement = staged;
                staged = null;
                splitEvenly();
                splitByForecast();
            }
        }

        /**
         * Splits the tokens of each expert between its replicas so that the forecast loads the
         * ranks as evenly as possible.
         */
        private void splitByForecast() {
            LoadSplit split = new LoadSplit(placement, estimator.forecast(ranks));
            slotShares = split.shares();
            forecastSkew = split.rankLoad(split.busiestRank());
        }

        /** Returns the load of the busiest rank divided by the mean load of a rank. */
        double maxRankLoad(double[] shares) {
            double[] load = new double[ranks];
            for (int slot = 0; slot < slotShares.length; slot++) {
                double expertShare = shares[placement.expertOf(slot)];
                load[placement.rankOf(slot)] += expertShare * slotShares[slot] * ranks;
            }
            return Arrays.stream(load).max().orElse(0);
        }

        /**
         * Delivers the token counts of the previous interval to the estimator and samples those of
         * this interval, without the reports that are lost.
         */
        void report(double[] shares, Random random) {
            if (undeliveredCounts != null) {
                estimator.report(undeliveredCounts);
            }
            double[] weights = deliveredTokenWeights(shares.length, random);
            undeliveredCounts = new long[shares.length];
            for (int expert = 0; expert < shares.length; expert++) {
                double expected = shares[expert] * weights[expert] * TOKENS_PER_INTERVAL / ranks;
                double noise = Math.sqrt(expected) * random.nextGaussian();
                undeliveredCounts[expert] = Math.max(0, Math.round(expected + noise));
            }
        }

        /**
         * Returns for each expert the sum of the token weights of the ranks whose report arrives.
         */
        private double[] deliveredTokenWeights(int experts, Random random) {
            double[] weights = new double[experts];
            for (double[] rank : rankTokenWeights) {
                if (random.nextDouble() >= REPORT_LOSS_FRACTION) {
                    for (int expert = 0; expert < experts; expert++) {
                        weights[expert] += rank[expert];
                    }
                }
            }
            return weights;
        }

        /**
         * Plans a new placement if a plan is due and no weights are being fetched.
         *
         * @return the number of expert replicas to move
         */
        int plan(RebalancePolicy policy, int interval) {
            if (policy.adjustsShares()) {
                splitByForecast();
            }
            if (staged != null || interval % INTERVALS_PER_PLAN != 0) {
                return 0;
            }
            double[] forecast = estimator.forecast(ranks);
            LayerPlacement planned = policy.plan(placement, forecast, estimator.forecastHorizon());
            int moves = planned.movesFrom(placement);
            if (moves > 0) {
                double movedGb = moves * EXPERT_GB * MODEL_LAYERS;
                staged = planned;
                installInterval =
                        interval + Math.max(1, (int) Math.ceil(movedGb / FETCHED_GB_PER_INTERVAL));
            }
            return moves;
        }
    }
}
