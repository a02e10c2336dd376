package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.transport.group.SimulatedStreams.Load;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays shifts of the demand for experts and slow engines on groups of several sizes, and counts
 * what callers get in time.
 */
class DemandShiftTest {

    private static final VmCapacity CAPACITY = new VmCapacity(0.45, 700_000);
    private static final GroupShape SMALL_SHAPE = new GroupShape(6, 64, 11, 4, 0.85, 148);
    private static final double SMALL_EXPONENT = 1.2;
    private static final long SETTLE_MS = 4_000;
    private static final long PLAY_MS = 26_000;
    private static final double SHIFT_FRACTION = 0.6;
    private static final int SEEDS = 4;

    /** Mean worth per request that the users state for the deployment with 8 ranks a group. */
    private static final double MIN_ON_TIME = 0.73;

    /** Mean worth per request that the users state for the grown deployments. */
    private static final double MIN_ON_TIME_OF_LARGE_GROUPS = 0.63;

    private static LargeGroupFixture settledSmallGroup(long seed) {
        LargeGroupFixture group =
                new LargeGroupFixture(
                        8, SMALL_SHAPE, CAPACITY, SMALL_EXPONENT, Load.SMALL_GROUP, seed);
        group.start();
        group.run(SETTLE_MS);
        group.startMeasuring();
        return group;
    }

    private static void playShifts(LargeGroupFixture group, long intervalMs) {
        for (long playedMs = 0; playedMs < PLAY_MS; playedMs += intervalMs) {
            group.shiftDemand(SHIFT_FRACTION);
            group.run(intervalMs);
        }
        assertThat(group.usedMixedMaps()).isFalse();
    }

    /** Shifts come often, seldom and once. */
    @ParameterizedTest
    @ValueSource(longs = {3_200, 6_500, 26_000})
    void streamsOfASmallGroupAreOnTime(long intervalMs) {
        double onTime = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LargeGroupFixture group = settledSmallGroup(seed);
            playShifts(group, intervalMs);
            onTime += group.onTimeStreamFraction() / SEEDS;
        }
        assertWithMessage("streams on time").that(onTime).isAtLeast(MIN_ON_TIME);
    }

    /** A lost command delays the step that is held, and with it all streams of the group. */
    @Test
    void streamsOfASmallGroupAreOnTimeAlthoughCommandsAreLost() {
        double onTime = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LargeGroupFixture group = settledSmallGroup(seed);
            group.loseCommands(0.1);
            playShifts(group, 3_200);
            onTime += group.onTimeStreamFraction() / SEEDS;
        }
        assertWithMessage("streams on time").that(onTime).isAtLeast(MIN_ON_TIME);
    }

    @ParameterizedTest
    @CsvSource({
        "16, 4, 64, 5, 1.0, 217",
        "32, 12, 128, 5, 0.8, 37",
        "45, 12, 135, 4, 0.6, 32",
        "72, 12, 144, 3, 0.53, 32"
    })
    void eventsOfLargerGroupsAreOnTime(
            int ranks, int layers, int experts, int slots, double exponent, double fetchMs) {
        GroupShape shape = new GroupShape(layers, experts, slots, 2, 0.85, fetchMs);
        double onTime = 0;
        for (long seed = 1; seed <= 2; seed++) {
            LargeGroupFixture group =
                    new LargeGroupFixture(ranks, shape, CAPACITY, exponent, Load.LARGE_GROUP, seed);
            group.start();
            group.run(SETTLE_MS);
            group.startMeasuring();
            playShifts(group, 3_200);
            onTime += group.onTimeFraction() / 2;
        }
        assertWithMessage("events on time").that(onTime).isAtLeast(MIN_ON_TIME_OF_LARGE_GROUPS);
    }

    /** All ranks wait for the slow one, unless it has next to nothing to do. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aSlowEngineDoesNotSlowItsGroupForLong(long seed) {
        LargeGroupFixture group = settledSmallGroup(seed);
        group.slowDown(3, 5);
        group.run(9_000);
        assertThat(group.usedMixedMaps()).isFalse();
        assertWithMessage("events on time, seed " + seed)
                .that(group.onTimeFraction())
                .isAtLeast(MIN_ON_TIME);
        group.slowDown(3, 1);
        group.run(3_000);
        assertWithMessage("load of the most loaded rank, seed " + seed)
                .that(group.imbalanceNow())
                .isLessThan(1.4);
    }
}
