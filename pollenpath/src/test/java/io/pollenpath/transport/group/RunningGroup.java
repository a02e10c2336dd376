package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.LeaderElection;
import io.pollenpath.coordination.group.SimulatedGroup;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.group.VmCapacity;
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

/** Runs one agent for each rank of a simulated group that makes a pass every few milliseconds. */
final class RunningGroup implements AutoCloseable {

    static final int RANKS = 4;
    static final GroupShape SHAPE = new GroupShape(1, 8, 3, 2, 0.85);
    private static final VmCapacity CAPACITY = new VmCapacity(1, 1_000_000);
    private static final long PASS_MS = 10;
    private static final ExpertMap FIRST =
            new ExpertMap(
                    List.of(List.of(List.of(0, 4), List.of(1, 5), List.of(2, 6), List.of(3, 7))));

    /** The requests of every rank choose the experts of rank 0 far more often than the others. */
    private static final long[] CHOSEN_A_PASS = {400, 20, 20, 20, 300, 20, 20, 20};

    private final SimulatedGroup group;
    private final AtomicLong lastToken;
    private final NettyLoops loops;
    private final HttpClient http;
    private final ScheduledExecutorService passes = Executors.newSingleThreadScheduledExecutor();
    private final List<Member> members = new ArrayList<>();
    private volatile boolean mixed;

    /** Starts the agents; they know nobody before {@link #introduce}. */
    RunningGroup(String name, AtomicLong lastToken, NettyLoops loops, HttpClient http) {
        group = new SimulatedGroup(name, RANKS, true, FIRST);
        this.lastToken = lastToken;
        this.loops = loops;
        this.http = http;
        for (int rank = 0; rank < RANKS; rank++) {
            members.add(new Member(rank));
        }
    }

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
        public CompletableFuture<CommandResult> send(EngineCommand order, long epoch, long token) {
            return CompletableFuture.completedFuture(group.execute(rank, order, epoch, token));
        }
    }

    final class Member {
        private final ScheduledExecutorService control =
                Executors.newSingleThreadScheduledExecutor();
        private final GroupAgent agent;
        private final AgentServer server;

        Member(int rank) {
            Engine engine = new Engine(rank);
            LeaderElection candidacy = new LeaderElection(System.nanoTime());
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
                            address -> engineAt(address),
                            "agent-" + rank,
                            CAPACITY);
            server =
                    new AgentServer(
                            loops, "127.0.0.1", 0, new RankAgent(engine, control, candidacy));
        }

        GroupAgent agent() {
            return agent;
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

    private Optional<EngineControl> engineAt(AgentAddress address) {
        for (int rank = 0; rank < RANKS; rank++) {
            if (members.get(rank).address().equals(address)) {
                return Optional.of(new Engine(rank));
            }
        }
        return Optional.empty();
    }

    /** Lists the addresses of all agents. */
    List<AgentAddress> addresses() {
        return members.stream().map(Member::address).toList();
    }

    /** Makes agents known to those of this group, and starts them and the passes. */
    void introduce(List<AgentAddress> addresses) {
        for (Member member : members) {
            member.control.execute(
                    () -> {
                        member.agent.setAgents(addresses);
                        member.agent.setShape(Optional.of(SHAPE));
                    });
            member.agent.start();
        }
        passes.scheduleAtFixedRate(
                () -> mixed |= !group.beginStep(), PASS_MS, PASS_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the engines. */
    SimulatedGroup engines() {
        return group;
    }

    /** Tells whether a pass was begun while two ranks had different maps. */
    boolean isMixed() {
        return mixed;
    }

    /** Returns the agent that leads; empty if none does. */
    Optional<Member> leader() {
        return members.stream()
                .filter(member -> !member.control.isShutdown() && member.agent.isLeading())
                .findFirst();
    }

    @Override
    public void close() {
        passes.shutdownNow();
        members.forEach(Member::kill);
    }
}
