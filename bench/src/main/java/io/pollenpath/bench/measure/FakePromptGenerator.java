package io.pollenpath.bench.measure;

import java.util.SplittableRandom;

/**
 * Generates prompts whose prefixes follow a Zipf distribution with exponent 1. The popular prefixes
 * change over time.
 */
final class FakePromptGenerator {

    private static final int PREFIXES = 400;
    private static final int PREFIX_TOKENS_MIN = 800;
    private static final int PREFIX_TOKENS_RANGE = 1_400;
    private static final int SUFFIX_TOKENS_MIN = 50;
    private static final int SUFFIX_TOKENS_RANGE = 250;
    private static final int OUTPUT_TOKENS_MIN = 20;
    private static final double OUTPUT_TOKENS_MEAN = 80;
    private static final int OUTPUT_TOKENS_MAX = 500;
    private static final long DRIFT_INTERVAL_NANOS = 400_000_000L;

    private final double[] cumulativeWeights = new double[PREFIXES];
    private final SplittableRandom random;

    FakePromptGenerator(SplittableRandom random) {
        this.random = random;
        double sum = 0;
        for (int i = 0; i < PREFIXES; i++) {
            sum += 1.0 / (i + 1);
            cumulativeWeights[i] = sum;
        }
    }

    /** Returns a random prompt for a simulated time. */
    FakePrompt next(long nowNanos) {
        int popularityRank = drawPopularityRank();
        long prefix = (popularityRank * 7919L + nowNanos / DRIFT_INTERVAL_NANOS) % PREFIXES + 1;
        int prefixTokens = PREFIX_TOKENS_MIN + (int) (prefix * 977 % PREFIX_TOKENS_RANGE);
        int suffixTokens = SUFFIX_TOKENS_MIN + random.nextInt(SUFFIX_TOKENS_RANGE);
        double extraTokens = -Math.log(1 - random.nextDouble()) * OUTPUT_TOKENS_MEAN;
        int outputTokens = (int) Math.min(OUTPUT_TOKENS_MAX, OUTPUT_TOKENS_MIN + extraTokens);
        return new FakePrompt(prefix, prefixTokens, suffixTokens, outputTokens);
    }

    /** Returns a popularity rank, 0 for the most popular prefix. */
    private int drawPopularityRank() {
        double draw = random.nextDouble() * cumulativeWeights[PREFIXES - 1];
        int low = 0;
        int high = PREFIXES - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (cumulativeWeights[middle] < draw) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
