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

/** Runs one policy over one trace of popularity. */
final class ExpertTrial {

    private static final int LAYERS = 4;
    private static final int INTERVALS = 2_880;
    private static final int INTERVAL_MS = 10_000;
    private static final int INTERVALS_PER_PLAN = 3;
    private static final double STEP_MS = 4.5;
    private static final double EXPERT_GB = 0.044;
    private static final int MODEL_LAYERS = 60;
    private static final double STORE_GB_PER_INTERVAL = 20;
    private static final long TOKENS_PER_INTERVAL = 2_700_000;
    private static final double LOST_REPORTS = 0.1;
    private static final double RANK_DEVIATION = 0.2;
    private static final int PLANNER_WARM_UP = 6;
    private static final int PLANNER_PASSES = 9;

    /** Figures of one run; the moved data are those of a model of 60 layers. */
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

    ExpertTrial(long seed, int ranks, int experts) {
        this.seed = seed;
        this.ranks = ranks;
        this.experts = experts;
        random = new Random(seed ^ 0x5eed);
    }

    Result run(RebalancePolicy policy) {
        PopularityTrace trace = new PopularityTrace(seed, LAYERS, experts, INTERVALS);
        Layer[] layers = new Layer[LAYERS];
        Arrays.setAll(layers, i -> new Layer(ranks, experts, random));
        double[] skews = new double[INTERVALS];
        double moves = 0;
        double forecast = 0;
        for (int interval = 0; interval < INTERVALS; interval++) {
            double[][] shares = trace.next();
            double busiest = 0;
            for (int i = 0; i < LAYERS; i++) {
                layers[i].installStaged(interval);
                busiest += layers[i].busiestRank(shares[i]);
                layers[i].report(shares[i], random);
                moves += layers[i].plan(policy, interval);
                forecast += layers[i].forecastSkew;
            }
            skews[interval] = busiest / LAYERS;
        }
        double movedGb = moves * MODEL_LAYERS / LAYERS * EXPERT_GB;
        double stagingMs = movedGb / STORE_GB_PER_INTERVAL * INTERVAL_MS;
        double mean = Arrays.stream(skews).average().orElse(0);
        Arrays.sort(skews);
        return new Result(
                mean,
                skews[INTERVALS / 2],
                skews[INTERVALS * 99 / 100],
                forecast / INTERVALS / LAYERS,
                movedGb,
                stagingMs / STEP_MS);
    }

    /** Measures one planning pass over all layers of a model, in milliseconds (median). */
    static double plannerMs(long seed, int ranks, int experts, int layerCount) {
        PopularityTrace trace = new PopularityTrace(seed, layerCount, experts, INTERVALS);
        RebalancePolicy policy = ExpertPolicies.lowSkew();
        Layer[] layers = new Layer[layerCount];
        Random random = new Random(seed);
        Arrays.setAll(layers, i -> new Layer(ranks, experts, random));
        double[] passes = new double[PLANNER_PASSES];
        for (int pass = -PLANNER_WARM_UP; pass < PLANNER_PASSES; pass++) {
            double[][] shares = trace.next();
            for (int i = 0; i < layerCount; i++) {
                layers[i].installStaged(Integer.MAX_VALUE);
                layers[i].report(shares[i], random);
            }
            long startNanos = System.nanoTime();
            for (Layer layer : layers) {
                layer.plan(policy, 0);
            }
            long tookNanos = System.nanoTime() - startNanos;
            if (pass >= 0) {
                passes[pass] = tookNanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
            }
        }
        Arrays.sort(passes);
        return passes[PLANNER_PASSES / 2];
    }

    /** State of one layer: what is in force, what is being fetched, what was reported. */
    private static final class Layer {
        private final int ranks;
        private final PopularityEstimator estimator;
        private LayerPlacement placement;
        private double[] slotShares;
        private double forecastSkew;
        private LayerPlacement staged;
        private int installAt;
        private long[] lateCounts;
        private final double[][] tokensOfRank;

        Layer(int ranks, int experts, Random random) {
            this.ranks = ranks;
            tokensOfRank = new double[ranks][experts];
            for (double[] rank : tokensOfRank) {
                Arrays.setAll(rank, e -> Math.exp(RANK_DEVIATION * random.nextGaussian()));
            }
            estimator = ExpertPolicies.estimator(experts);
            placement =
                    LayerPlacement.roundRobin(
                            ranks, experts, ExpertPolicies.slotsPerRank(ranks, experts));
            slotShares = new double[placement.slots()];
            spreadShares();
        }

        private void spreadShares() {
            int[] replicas = new int[placement.experts()];
            for (int slot = 0; slot < slotShares.length; slot++) {
                replicas[placement.expertOf(slot)]++;
            }
            for (int slot = 0; slot < slotShares.length; slot++) {
                slotShares[slot] = 1.0 / replicas[placement.expertOf(slot)];
            }
        }

        void installStaged(int interval) {
            if (staged != null && interval >= installAt) {
                placement = staged;
                staged = null;
                spreadShares();
                level();
            }
        }

        private void level() {
            LoadSplit split = new LoadSplit(placement, estimator.forecast(ranks));
            slotShares = split.shares();
            forecastSkew = split.rankLoad(split.busiestRank());
        }

        /** Returns the load of the busiest rank in units of the mean. */
        double busiestRank(double[] shares) {
            double[] load = new double[ranks];
            for (int slot = 0; slot < slotShares.length; slot++) {
                double expertShare = shares[placement.expertOf(slot)];
                load[placement.rankOf(slot)] += expertShare * slotShares[slot] * ranks;
            }
            return Arrays.stream(load).max().orElse(0);
        }

        /** Delivers the counts of the interval before this one, some of them lost. */
        void report(double[] shares, Random random) {
            if (lateCounts != null) {
                estimator.report(lateCounts);
            }
            double[] kept = keptReports(shares.length, random);
            lateCounts = new long[shares.length];
            for (int expert = 0; expert < shares.length; expert++) {
                double expected = shares[expert] * kept[expert] * TOKENS_PER_INTERVAL / ranks;
                double noise = Math.sqrt(expected) * random.nextGaussian();
                lateCounts[expert] = Math.max(0, Math.round(expected + noise));
            }
        }

        /** Each rank reports the tokens that came from it; sums the reports that arrive. */
        private double[] keptReports(int experts, Random random) {
            double[] kept = new double[experts];
            for (double[] rank : tokensOfRank) {
                if (random.nextDouble() >= LOST_REPORTS) {
                    for (int expert = 0; expert < experts; expert++) {
                        kept[expert] += rank[expert];
                    }
                }
            }
            return kept;
        }

        /** Plans once nothing is being fetched; returns the number of moves. */
        int plan(RebalancePolicy policy, int interval) {
            if (policy.adjustsShares()) {
                level();
            }
            if (staged != null || interval % INTERVALS_PER_PLAN != 0) {
                return 0;
            }
            double[] forecast = estimator.forecast(ranks);
            LayerPlacement next = policy.plan(placement, forecast, estimator.forecastHorizon());
            int moves = next.movesFrom(placement);
            if (moves > 0) {
                double gb = moves * EXPERT_GB * MODEL_LAYERS;
                staged = next;
                installAt = interval + Math.max(1, (int) Math.ceil(gb / STORE_GB_PER_INTERVAL));
            }
            return moves;
        }
    }
}
