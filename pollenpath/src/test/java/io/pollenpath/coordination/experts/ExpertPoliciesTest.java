package io.pollenpath.coordination.experts;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ExpertPoliciesTest {

    private static final double EPSILON = 1e-9;
    private static final int EXPERTS = 64;
    private static final int RANKS = 16;
    private static final double LONG_LIFE = 30;

    private static double[] load(long seed) {
        Random random = new Random(seed);
        double[] load = new double[EXPERTS];
        Arrays.setAll(load, e -> Math.exp(random.nextGaussian()));
        double total = Arrays.stream(load).sum();
        Arrays.setAll(load, e -> load[e] / total * RANKS);
        return load;
    }

    private static LayerPlacement dealt() {
        return LayerPlacement.roundRobin(
                RANKS, EXPERTS, ExpertPolicies.slotsPerRank(RANKS, EXPERTS));
    }

    private static double busiest(LayerPlacement placement, double[] load) {
        LoadSplit split = new LoadSplit(placement, load);
        return split.rankLoad(split.busiestRank());
    }

    @Property(seed = "1", tries = 50)
    void splitKeepsTheLoadOfEachExpert(@ForAll @IntRange(max = 1_000) int seed) {
        LayerPlacement placement = dealt();
        double[] shares = new LoadSplit(placement, load(seed)).shares();
        double[] sums = new double[EXPERTS];
        for (int slot = 0; slot < shares.length; slot++) {
            assertThat(shares[slot]).isAtLeast(0.0);
            sums[placement.expertOf(slot)] += shares[slot];
        }
        for (double sum : sums) {
            assertThat(sum).isWithin(EPSILON).of(1);
        }
    }

    @Property(seed = "1", tries = 50)
    void levellingNeverLoadsTheBusiestRankMore(@ForAll @IntRange(max = 1_000) int seed) {
        LoadSplit split = new LoadSplit(dealt(), load(seed));
        double before = split.rankLoad(split.busiestRank());
        split.level(1);
        assertThat(split.rankLoad(split.busiestRank())).isAtMost(before + EPSILON);
    }

    @Property(seed = "1", tries = 50)
    void greedyPlanIsWorthItsPrice(@ForAll @IntRange(max = 1_000) int seed) {
        double price = 0.02;
        double[] load = load(seed);
        LayerPlacement before = dealt();
        LayerPlacement after = new GreedyPolicy(price, 0, 24).plan(before, load, LONG_LIFE);
        double gain = busiest(before, load) - busiest(after, load);
        if (!after.equals(before)) {
            assertThat(gain * LONG_LIFE).isGreaterThan(price * after.movesFrom(before));
        }
    }

    @Property(seed = "1", tries = 20)
    void fullReplanPlacesEveryExpert(@ForAll @IntRange(max = 1_000) int seed) {
        double[] load = load(seed);
        LayerPlacement placement = new FullReplanPolicy().plan(dealt(), load, 1);
        assertThat(busiest(placement, load)).isAtMost(busiest(dealt(), load) + EPSILON);
    }

    @Test
    void nothingMovesWhenThePriceIsTooHigh() {
        LayerPlacement before = dealt();
        LayerPlacement after = new GreedyPolicy(1e6, 0, 24).plan(before, load(1), LONG_LIFE);
        assertThat(after).isSameInstanceAs(before);
    }

    @Test
    void nothingMovesWithinTheTolerance() {
        double[] even = new double[EXPERTS];
        Arrays.fill(even, (double) RANKS / EXPERTS);
        LayerPlacement before = dealt();
        assertThat(ExpertPolicies.lowSkew().plan(before, even, LONG_LIFE)).isSameInstanceAs(before);
    }

    @Test
    void placementRefusesAnExpertTwiceOnARankOrNowhere() {
        assertThat(
                        assertThrows(
                                IllegalArgumentException.class,
                                () -> new LayerPlacement(1, 2, new int[] {0, 0})))
                .hasMessageThat()
                .contains("place it once");
        assertThat(
                        assertThrows(
                                IllegalArgumentException.class,
                                () -> new LayerPlacement(2, 2, new int[] {0, 0})))
                .hasMessageThat()
                .contains("expert 1 has no slot");
    }

    @Test
    void estimatorIgnoresTheScaleOfReports() {
        PopularityEstimator whole = ExpertPolicies.estimator(2);
        PopularityEstimator half = ExpertPolicies.estimator(2);
        whole.report(new long[] {300, 100});
        half.report(new long[] {150, 50});
        half.report(new long[] {0, 0});
        assertThat(half.forecast(4)).usingTolerance(EPSILON).containsExactly(whole.forecast(4));
        assertThat(whole.forecast(4)[0]).isWithin(EPSILON).of(3);
    }

    @Test
    void driftShortensTheLifeOfTheForecast() {
        PopularityEstimator estimator = ExpertPolicies.estimator(2);
        estimator.report(new long[] {500, 500});
        double steady = estimator.forecastHorizon();
        estimator.report(new long[] {900, 100});
        assertThat(estimator.forecastHorizon()).isLessThan(steady);
    }
}
