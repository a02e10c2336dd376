package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Runs the agents of groups over real connections and simulated engines. */
class GroupAgentTest {

    private static final long TIMEOUT_MS = 15_000;

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final AtomicLong lastToken = new AtomicLong(100);
    private final List<RunningGroup> groups = new ArrayList<>();

    private RunningGroup create(String name) {
        RunningGroup group = new RunningGroup(name, lastToken, loops, http);
        groups.add(group);
        return group;
    }

    private RunningGroup start() {
        RunningGroup group = create("g0");
        group.introduce(group.addresses());
        return group;
    }

    @AfterEach
    void stop() {
        groups.forEach(RunningGroup::close);
        http.close();
        loops.close();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            Thread.sleep(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private static void awaitSteps(RunningGroup group, long steps) throws InterruptedException {
        long step = group.engines().step();
        await(() -> group.engines().step() > step + steps);
        assertThat(group.isMixed()).isFalse();
    }

    private static long holdersOfTheBusiestExpert(RunningGroup group) {
        long holders = 0;
        for (int rank = 0; rank < RunningGroup.RANKS; rank++) {
            holders += group.engines().experts(rank).get(0).contains(0) ? 1 : 0;
        }
        return holders;
    }

    @Test
    void theBusiestRankGivesExpertsAwayAndNoPassMixesMaps() throws InterruptedException {
        RunningGroup group = start();
        await(() -> group.engines().mapSwitches() >= RunningGroup.RANKS);
        awaitSteps(group, 20);
        assertThat(holdersOfTheBusiestExpert(group)).isAtLeast(2);
    }

    @Test
    void anotherAgentLeadsWhenTheLeaderIsGone() throws InterruptedException {
        RunningGroup group = start();
        await(
                () ->
                        group.leader().isPresent()
                                && group.engines().mapSwitches() >= RunningGroup.RANKS);
        RunningGroup.Member first = group.leader().orElseThrow();
        first.kill();
        await(() -> group.leader().isPresent());
        assertThat(group.leader().orElseThrow()).isNotSameInstanceAs(first);
        awaitSteps(group, 50);
    }

    @Test
    void anAgentThatStopsGivesUpTheLead() throws InterruptedException {
        RunningGroup group = start();
        await(() -> group.leader().isPresent());
        RunningGroup.Member first = group.leader().orElseThrow();
        first.agent().stop();
        await(() -> !first.agent().isLeading());
        await(() -> group.leader().isPresent());
        awaitSteps(group, 20);
    }

    @Test
    void groupsThatKnowEachOthersAgentsKeepTheirOwnLeaders() throws InterruptedException {
        RunningGroup one = create("g0");
        RunningGroup other = create("g1");
        List<AgentAddress> all = new ArrayList<>(one.addresses());
        all.addAll(other.addresses());
        one.introduce(all);
        other.introduce(all);
        for (RunningGroup group : groups) {
            await(() -> group.engines().mapSwitches() >= RunningGroup.RANKS);
        }
        RunningGroup.Member leaderOfOne = one.leader().orElseThrow();
        RunningGroup.Member leaderOfOther = other.leader().orElseThrow();
        awaitSteps(one, 100);
        awaitSteps(other, 100);
        assertThat(one.leader()).hasValue(leaderOfOne);
        assertThat(other.leader()).hasValue(leaderOfOther);
    }
}
