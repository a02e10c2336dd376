package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.coordination.group.Candidacy;
import io.pollenpath.coordination.group.SimulatedGroup;
import io.pollenpath.state.group.GroupMap;
import io.pollenpath.state.group.OrderOutcome;
import io.pollenpath.state.group.RankOrder;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs the agents of one group over real connections and a simulated group of engines. */
class GroupAgentTest {

    private static final int RANKS = 4;
    private static final long PASS_MS = 10;
    private static final long TIMEOUT_MS = 15_000;
    private static final GroupShape SHAPE = new GroupShape(1, 8, 3, 2, 0.85);
    private static final GroupMap FIRST =
            new GroupMap(
                    List.of(List.of(List.of(0, 4), List.of(1, 5), List.of(2, 6), List.of(3, 7))));

    /** The requests of every rank choose the experts of rank 0 far more often than the others. */
    private static final long[] CHOSEN_A_PASS = {400, 20, 20, 20, 300, 20, 20, 20};

    private final SimulatedGroup group = new SimulatedGroup(RANKS, true, FIRST);
    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final AtomicLong lastToken = new AtomicLong(100);
    private final ScheduledExecutorService passes = Executors.newSingleThreadScheduledExecutor();
    private final List<Member> members = new ArrayList<>();
    private volatile boolean mixed;

    private final class Engine implements EngineControl {
        private final int rank;

        Engine(int rank) {
            this.rank = rank;
        }

        @Override
        public CompletableFuture<RankStatus> status() {
            return CompletableFuture.completedFuture(group.status(rank));
        }

        @Override
        public CompletableFuture<long[]> counts() {
            long[] counts = CHOSEN_A_PASS.clone();
            for (int expert = 0; expert < counts.length; expert++) {
                counts[expert] *= group.step();
            }
            return CompletableFuture.completedFuture(counts);
        }

        @Override
        public CompletableFuture<List<List<Integer>>> experts() {
            return CompletableFuture.completedFuture(group.experts(rank));
        }

        @Override
        public CompletableFuture<OrderOutcome> order(RankOrder order, long epoch, long token) {
            return CompletableFuture.completedFuture(group.carryOut(rank, order, epoch, token));
        }
    }

    private final class Member {
        private final ScheduledExecutorService control =
                Executors.newSingleThreadScheduledExecutor();
        private final GroupAgent agent;
        private final AgentServer server;

        Member(int rank) {
            Engine engine = new Engine(rank);
            Candidacy candidacy = new Candidacy(System.nanoTime());
            LeaderLease lease =
                    (name, holder) ->
                            CompletableFuture.completedFuture(lastToken.incrementAndGet());
            agent =
                    new GroupAgent(
                            engine,
                            candidacy,
                            lease,
                            control,
                            http,
                            address -> Optional.of(engineAt(address)),
                            "agent-" + rank);
            server =
                    new AgentServer(
                            loops, "127.0.0.1", 0, new RankAgent(engine, control, candidacy));
        }

        AgentAddress address() {
            HttpAddress own = new HttpAddress("127.0.0.1", server.port());
            return new AgentAddress(own, own);
        }

        void kill() {
            control.shutdownNow();
            server.close();
        }
    }

    private Engine engineAt(AgentAddress address) {
        for (int rank = 0; rank < RANKS; rank++) {
            if (members.get(rank).address().equals(address)) {
                return new Engine(rank);
            }
        }
        throw new IllegalArgumentException("no engine at " + address);
    }

    @BeforeEach
    void start() {
        for (int rank = 0; rank < RANKS; rank++) {
            members.add(new Member(rank));
        }
        List<AgentAddress> addresses = members.stream().map(Member::address).toList();
        for (Member member : members) {
            member.control.execute(
                    () -> {
                        member.agent.setAgents(addresses);
                        member.agent.setShape(Optional.of(SHAPE));
                    });
            member.agent.start();
        }
        passes.scheduleAtFixedRate(
                () -> mixed |= !group.pass(), PASS_MS, PASS_MS, TimeUnit.MILLISECONDS);
    }

    @AfterEach
    void stop() {
        passes.shutdownNow();
        members.forEach(Member::kill);
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

    private Optional<Member> leader() {
        return members.stream()
                .filter(member -> !member.control.isShutdown() && member.agent.isLeading())
                .findFirst();
    }

    @Test
    void theBusiestRankGivesExpertsAwayAndNoPassMixesMaps() throws InterruptedException {
        await(() -> group.changes() >= RANKS);
        long step = group.step();
        await(() -> group.step() > step + 20);
        assertThat(mixed).isFalse();
        long holders = 0;
        for (int rank = 0; rank < RANKS; rank++) {
            holders += group.experts(rank).get(0).contains(0) ? 1 : 0;
        }
        assertThat(holders).isAtLeast(2);
    }

    @Test
    void anotherAgentLeadsWhenTheLeaderIsGone() throws InterruptedException {
        await(() -> leader().isPresent() && group.changes() >= RANKS);
        Member first = leader().orElseThrow();
        first.kill();
        await(() -> leader().isPresent());
        assertThat(leader().orElseThrow()).isNotSameInstanceAs(first);
        long step = group.step();
        await(() -> group.step() > step + 50);
        assertThat(mixed).isFalse();
    }

    @Test
    void anAgentThatStopsGivesUpTheLead() throws InterruptedException {
        await(() -> leader().isPresent());
        Member first = leader().orElseThrow();
        first.agent.stop();
        await(() -> !first.agent.isLeading());
        await(() -> leader().isPresent());
        long step = group.step();
        await(() -> group.step() > step + 20);
        assertThat(mixed).isFalse();
    }
}
