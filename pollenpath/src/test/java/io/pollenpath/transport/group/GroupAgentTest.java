package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests agents that call each other over real connections and control simulated engines. */
class GroupAgentTest {

    private static final long TIMEOUT_MS = 15_000;
    private static final long FIRST_TOKEN = 101;

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final List<AgentGroupFixture> groups = new ArrayList<>();

    private AgentGroupFixture create(String name) {
        AgentGroupFixture group = new AgentGroupFixture(name, FIRST_TOKEN, loops, http);
        groups.add(group);
        return group;
    }

    private AgentGroupFixture start() {
        AgentGroupFixture group = create("g0");
        group.startAgents(group.addresses());
        return group;
    }

    @AfterEach
    void stop() {
        groups.forEach(AgentGroupFixture::close);
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

    private static void awaitSteps(AgentGroupFixture group, long steps)
            throws InterruptedException {
        long step = group.engines().step();
        await(() -> group.engines().step() > step + steps);
        assertThat(group.usedMixedMaps()).isFalse();
    }

    private static long holdersOfTheBusiestExpert(AgentGroupFixture group) {
        long holders = 0;
        for (int rank = 0; rank < AgentGroupFixture.RANKS; rank++) {
            holders += group.engines().experts(rank).get(0).contains(0) ? 1 : 0;
        }
        return holders;
    }

    @Test
    void expertsOfTheBusiestRankAreReplicatedAndNoStepMixesMaps() throws InterruptedException {
        AgentGroupFixture group = start();
        await(() -> group.engines().mapSwitches() >= AgentGroupFixture.RANKS);
        awaitSteps(group, 20);
        assertThat(holdersOfTheBusiestExpert(group)).isAtLeast(2);
    }

    @Test
    void anotherAgentLeadsAfterTheLeaderTerminates() throws InterruptedException {
        AgentGroupFixture group = start();
        await(
                () ->
                        group.leader().isPresent()
                                && group.engines().mapSwitches() >= AgentGroupFixture.RANKS);
        AgentGroupFixture.Member first = group.leader().orElseThrow();
        first.kill();
        await(() -> group.leader().isPresent());
        assertThat(group.leader().orElseThrow()).isNotSameInstanceAs(first);
        awaitSteps(group, 50);
    }

    @Test
    void aStoppedAgentGivesUpLeadership() throws InterruptedException {
        AgentGroupFixture group = start();
        await(() -> group.leader().isPresent());
        AgentGroupFixture.Member first = group.leader().orElseThrow();
        first.agent().stop();
        await(() -> !first.agent().isLeading());
        await(() -> group.leader().isPresent());
        awaitSteps(group, 20);
    }

    @Test
    void groupsThatKnowEachOthersAgentsKeepTheirOwnLeaders() throws InterruptedException {
        AgentGroupFixture one = create("g0");
        AgentGroupFixture other = create("g1");
        List<AgentAddress> all = new ArrayList<>(one.addresses());
        all.addAll(other.addresses());
        one.startAgents(all);
        other.startAgents(all);
        for (AgentGroupFixture group : groups) {
            await(() -> group.engines().mapSwitches() >= AgentGroupFixture.RANKS);
        }
        AgentGroupFixture.Member leaderOfOne = one.leader().orElseThrow();
        AgentGroupFixture.Member leaderOfOther = other.leader().orElseThrow();
        awaitSteps(one, 100);
        awaitSteps(other, 100);
        assertThat(one.leader()).hasValue(leaderOfOne);
        assertThat(other.leader()).hasValue(leaderOfOther);
    }
}
