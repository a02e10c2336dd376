package io.pollenpath.coordination.group;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.serving.GroupShape;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MapPlannerTest {

    /** Half of the minimum election timeout, in CPU time of a whole core. */
    private static final long MAX_PLAN_MS = 250;

    /** The fetches of a change take most of its time, so that several changes pay. */
    private static final ChangeCost DEAR_FETCHES = new ChangeCost(200, 150);

    /** A change takes as long whatever it fetches, so that one change carries all fetches. */
    private static final ChangeCost FREE_FETCHES = new ChangeCost(200, 0);

    private static ExpertMap roundRobin(int layers, int ranks, int experts) {
        List<List<List<Integer>>> all = new ArrayList<>();
        for (int layer = 0; layer < layers; layer++) {
            List<List<Integer>> hosted = new ArrayList<>();
            for (int rank = 0; rank < ranks; rank++) {
                List<Integer> own = new ArrayList<>();
                for (int expert = rank; expert < experts; expert += ranks) {
                    own.add(expert);
                }
                hosted.add(own);
            }
            all.add(hosted);
        }
        return new ExpertMap(all);
    }

    private static double[] even(int ranks) {
        double[] slowdowns = new double[ranks];
        Arrays.fill(slowdowns, 1);
        return slowdowns;
    }

    private static double[][] randomShares(int layers, int experts, Random random) {
        double[][] shares = new double[layers][experts];
        for (double[] layer : shares) {
            double sum = 0;
            for (int expert = 0; expert < experts; expert++) {
                layer[expert] = 1 / (1 + experts * random.nextDouble());
                sum += layer[expert];
            }
            for (int expert = 0; expert < experts; expert++) {
                layer[expert] /= sum;
            }
        }
        return shares;
    }

    @Property(tries = 100)
    void everyPlanCanBeFetchedInOneChange(
            @ForAll long seed,
            @ForAll @IntRange(min = 2, max = 12) int ranks,
            @ForAll @IntRange(min = 1, max = 3) int maxNew) {
        int experts = ranks * 4;
        GroupShape shape = new GroupShape(2, experts, 5, maxNew, 0.85, 20);
        ExpertMap map = roundRobin(2, ranks, experts);
        Random random = new Random(seed);
        for (int round = 0; round < 3; round++) {
            MapPlanner.Plan plan =
                    new MapPlanner(shape)
                            .plan(map, randomShares(2, experts, random), even(ranks), FREE_FETCHES);
            assertWithMessage("seed %s", seed)
                    .that(plan.imbalanceThen())
                    .isAtMost(plan.imbalanceNow() + 1e-9);
            checkPlacement(map, plan.map(), shape);
            map = plan.map();
        }
    }

    private static void checkPlacement(ExpertMap before, ExpertMap after, GroupShape shape) {
        for (int layer = 0; layer < shape.layers(); layer++) {
            List<Integer> placed = new ArrayList<>();
            for (int rank = 0; rank < after.ranks(); rank++) {
                List<Integer> hosted = after.layers().get(layer).get(rank);
                List<Integer> old = before.layers().get(layer).get(rank);
                assertThat(hosted).containsNoDuplicates();
                assertThat(hosted.size()).isAtMost(shape.slotsPerRank());
                long newExperts = hosted.stream().filter(expert -> !old.contains(expert)).count();
                assertThat(newExperts).isAtMost((long) shape.maxNewPerChange());
                placed.addAll(hosted);
            }
            for (int expert = 0; expert < shape.experts(); expert++) {
                assertThat(placed).contains(expert);
            }
        }
    }

    @Property(tries = 20)
    void twoChangesBalanceASkewedGroup(@ForAll long seed) {
        GroupShape shape = new GroupShape(1, 64, 5, 2, 0.85, 20);
        double[][] shares = randomShares(1, 64, new Random(seed));
        MapPlanner planner = new MapPlanner(shape);
        MapPlanner.Plan first = planner.plan(roundRobin(1, 16, 64), shares, even(16), FREE_FETCHES);
        MapPlanner.Plan second = planner.plan(first.map(), shares, even(16), FREE_FETCHES);
        assertWithMessage("seed %s", seed).that(second.imbalanceThen()).isAtMost(1.35);
    }

    /** A change waits for the rank with the most fetches, so no rank may have too many. */
    @Test
    void fetchesAfterAShiftAreEvenlyDistributed() {
        int tries = 20;
        GroupShape shape = new GroupShape(4, 64, 5, 2, 0.85, 20);
        MapPlanner planner = new MapPlanner(shape);
        long maxFetches = 0;
        double imbalance = 0;
        for (int seed = 0; seed < tries; seed++) {
            Random random = new Random(seed);
            ExpertMap map =
                    planner.plan(
                                    roundRobin(4, 16, 64),
                                    powerLawShares(4, 64, random),
                                    even(16),
                                    FREE_FETCHES)
                            .map();
            MapPlanner.Plan plan =
                    planner.plan(map, powerLawShares(4, 64, random), even(16), FREE_FETCHES);
            imbalance += plan.imbalanceThen();
            maxFetches +=
                    IntStream.range(0, 16)
                            .mapToLong(rank -> fetches(map, plan.map(), rank))
                            .max()
                            .orElse(0);
        }
        assertThat((double) maxFetches / tries).isAtMost(4);
        assertThat(imbalance / tries).isAtMost(1.25);
    }

    /** The group waits for the fetches of a change, so the first one takes what relieves most. */
    @Test
    void theFirstChangeAfterAShiftTakesMostOfTheExcessWithFewFetches() {
        GroupShape shape = new GroupShape(6, 64, 11, 4, 0.85, 150);
        MapPlanner planner = new MapPlanner(shape);
        for (int seed = 0; seed < 10; seed++) {
            ExpertMap map = roundRobin(6, 8, 64);
            for (int change = 0; change < 4; change++) {
                double[][] shares = powerLawShares(6, 64, new Random(seed));
                map = planner.plan(map, shares, even(8), FREE_FETCHES).map();
            }
            double[][] shifted = powerLawShares(6, 64, new Random(seed + 100));
            MapPlanner.Plan all = planner.plan(map, shifted, even(8), FREE_FETCHES);
            MapPlanner.Plan first = planner.plan(map, shifted, even(8), DEAR_FETCHES);
            assertWithMessage("seed %s", seed).that(first.maxFetches()).isAtMost(3);
            assertWithMessage("seed %s", seed).that(first.gain()).isAtLeast(all.gain() / 2);
        }
    }

    /** All ranks wait for the slowest one, so it should have next to nothing to do. */
    @ParameterizedTest
    @CsvSource({"8, 64, 11, 4", "16, 64, 5, 2", "32, 128, 5, 2"})
    void aSlowRankIsLeftWithLittleLoadAfterAFewChanges(
            int ranks, int experts, int slotsPerRank, int maxNew) {
        GroupShape shape = new GroupShape(2, experts, slotsPerRank, maxNew, 0.85, 150);
        MapPlanner planner = new MapPlanner(shape);
        double[][] shares = powerLawShares(2, experts, new Random(5));
        double[] slowdowns = even(ranks);
        slowdowns[2] = 12;
        ExpertMap map = roundRobin(2, ranks, experts);
        MapPlanner.Plan plan = planner.plan(map, shares, even(ranks), FREE_FETCHES);
        double before = planner.plan(plan.map(), shares, slowdowns, FREE_FETCHES).imbalanceNow();
        for (int change = 0; change < 4; change++) {
            plan = planner.plan(plan.map(), shares, slowdowns, DEAR_FETCHES);
            checkPlacement(plan.map(), plan.map(), shape);
        }
        assertThat(before).isAtLeast(8);
        assertThat(plan.imbalanceThen()).isAtMost(1.6);
    }

    private static double[][] powerLawShares(int layers, int experts, Random random) {
        double[][] shares = new double[layers][experts];
        for (double[] layer : shares) {
            List<Integer> shuffled =
                    IntStream.range(0, experts).boxed().collect(Collectors.toList());
            Collections.shuffle(shuffled, random);
            double sum = IntStream.range(0, experts).mapToDouble(i -> 1 / (i + 3.0)).sum();
            for (int i = 0; i < experts; i++) {
                layer[shuffled.get(i)] = 1 / (i + 3.0) / sum;
            }
        }
        return shares;
    }

    private static long fetches(ExpertMap before, ExpertMap after, int rank) {
        long fetches = 0;
        for (int layer = 0; layer < after.layers().size(); layer++) {
            List<Integer> old = before.layers().get(layer).get(rank);
            fetches +=
                    after.layers().get(layer).get(rank).stream()
                            .filter(expert -> !old.contains(expert))
                            .count();
        }
        return fetches;
    }

    @Test
    void aRankWithMoreExpertsThanSlotsGetsNoMore() {
        GroupShape shape = new GroupShape(1, 16, 3, 2, 0.85, 20);
        ExpertMap map = roundRobin(1, 4, 16);
        double[][] shares = randomShares(1, 16, new Random(3));
        MapPlanner.Plan plan = new MapPlanner(shape).plan(map, shares, even(4), FREE_FETCHES);
        for (List<Integer> hosted : plan.map().layers().get(0)) {
            assertThat(hosted.size()).isAtMost(4);
        }
    }

    /** Covers the sizes of the deployments and the largest supported groups. */
    @ParameterizedTest
    @CsvSource({"16, 64, 4, 5", "72, 144, 12, 3", "128, 256, 60, 3"})
    void planningUsesLittleCpuTime(int ranks, int experts, int layers, int slotsPerRank) {
        GroupShape shape = new GroupShape(layers, experts, slotsPerRank, 2, 0.85, 20);
        ExpertMap map = roundRobin(layers, ranks, experts);
        MapPlanner planner = new MapPlanner(shape);
        planner.plan(map, randomShares(layers, experts, new Random(1)), even(ranks), DEAR_FETCHES);
        long startNanos = cpuNanos();
        MapPlanner.Plan plan =
                planner.plan(
                        map,
                        randomShares(layers, experts, new Random(2)),
                        even(ranks),
                        DEAR_FETCHES);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(cpuNanos() - startNanos);
        assertThat(plan.imbalanceThen()).isLessThan(plan.imbalanceNow());
        assertThat(tookMs).isLessThan(MAX_PLAN_MS);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
