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

/** Runs one agent for each rank of a simulated group that starts a step every few milliseconds. */
final class AgentGroupFixture implements AutoCloseable {

    static final int RANKS = 4;
    static final GroupShape SHAPE = new GroupShape(1, 8, 3, 2, 0.85, 20);
    private static final VmCapacity CAPACITY = new VmCapacity(1, 1_000_000);
    private static final long STEP_MS = 10;
    private static final ExpertMap INITIAL_MAP =
            new ExpertMap(
                    List.of(List.of(List.of(0, 4), List.of(1, 5), List.of(2, 6), List.of(3, 7))));

    /** Selections of each expert per step. The experts of rank 0 are selected far more often. */
    private static final long[] SELECTIONS_PER_STEP = {400, 20, 20, 20, 300, 20, 20, 20};

    private final SimulatedGroup group;
    private final SimulatedLease lease;
    private final NettyLoops loops;
    private final HttpClient http;
    private final ScheduledExecutorService stepTimer = Executors.newSingleThreadScheduledExecutor();
    private final List<Member> members = new ArrayList<>();
    private volatile boolean mixedMaps;

    /** Creates the agents; they know no other agents before {@link #startAgents}. */
    AgentGroupFixture(String name, long firstToken, NettyLoops loops, HttpClient http) {
        group = new SimulatedGroup(name, RANKS, true, INITIAL_MAP);
        lease = new SimulatedLease(firstToken);
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
            long[] counts = SELECTIONS_PER_STEP.clone();
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
        public CompletableFuture<CommandResult> send(
                EngineCommand command, long epoch, long token) {
            return CompletableFuture.completedFuture(group.execute(rank, command, epoch, token));
        }
    }

    final class Member {
        private final ScheduledExecutorService control =
                Executors.newSingleThreadScheduledExecutor();
        private final GroupAgent agent;
        private final AgentServer server;

        Member(int rank) {
            Engine engine = new Engine(rank);
            LeaderElection election = new LeaderElection(System.nanoTime());
            AgentScheduler scheduler = AgentScheduler.of(control);
            agent =
                    new GroupAgent(
                            engine,
                            election,
                            lease,
                            scheduler,
                            new HttpAgentTransport(http),
                            address -> engineAt(address),
                            "agent-" + rank,
                            CAPACITY);
            server =
                    new AgentServer(
                            loops, "127.0.0.1", 0, new RankAgent(engine, scheduler, election));
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

    /** Returns the addresses of all agents of this group. */
    List<AgentAddress> addresses() {
        return members.stream().map(Member::address).toList();
    }

    /** Gives the known agents to those of this group, and starts the agents and the steps. */
    void startAgents(List<AgentAddress> addresses) {
        for (Member member : members) {
            member.control.execute(
                    () -> {
                        member.agent.setAgents(addresses);
                        member.agent.setShape(Optional.of(SHAPE));
                    });
            member.agent.start();
        }
        stepTimer.scheduleAtFixedRate(
                () -> mixedMaps |= !group.beginStep(), STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the simulated engines. */
    SimulatedGroup engines() {
        return group;
    }

    /** Returns whether a step was started while two ranks had different maps. */
    boolean usedMixedMaps() {
        return mixedMaps;
    }

    /** Returns the member that leads the group; empty if none does. */
    Optional<Member> leader() {
        return members.stream()
                .filter(member -> !member.control.isShutdown() && member.agent.isLeading())
                .findFirst();
    }

    @Override
    public void close() {
        stepTimer.shutdownNow();
        members.forEach(Member::kill);
    }
}
