package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.LeaderElection;
import io.pollenpath.coordination.group.LeaderPolling;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the agent of one rank: monitors the leader of its group, and claims leadership when no other
 * agent leads. All state is confined to the control thread.
 */
public final class GroupAgent {

    private static final Logger LOG = LoggerFactory.getLogger(GroupAgent.class);
    private static final long LEADER_TICK_MS = 30;
    private static final long CLAIM_CHECK_MS = 120;
    private static final long LEADER_QUERY_TIMEOUT_MS = 250;
    private static final long NO_TOKEN = 0;

    private final EngineControl engine;
    private final LeaderElection election;
    private final LeaderLease lease;
    private final AgentScheduler scheduler;
    private final AgentTransport transport;
    private final Function<AgentAddress, Optional<EngineControl>> directEngines;
    private final String holder;
    private final VmCapacity capacity;
    private final Map<AgentAddress, RankPeer> peers = new HashMap<>();
    private Optional<GroupShape> shape = Optional.empty();
    private Optional<GroupLeader> leader = Optional.empty();
    private int groupSize;
    private boolean claiming;
    private volatile boolean stopping;
    private volatile boolean leading;

    /**
     * Creates an agent that is inactive until {@link #start}.
     *
     * @param engine the engine on this VM, not null
     * @param election records contacts of leaders and decides when to claim leadership, not null
     * @param lease the store in which leadership is claimed, not null
     * @param scheduler the control thread and its clock, not null
     * @param transport sends the calls to other agents, not null
     * @param directEngines returns a client for the engine of another agent, not null; empty if
     *     engines do not check fencing tokens
     * @param holder identifies this process incarnation when it claims leadership, not null
     * @param capacity the resources of this VM that the agent may use, not null
     */
    public GroupAgent(
            EngineControl engine,
            LeaderElection election,
            LeaderLease lease,
            AgentScheduler scheduler,
            AgentTransport transport,
            Function<AgentAddress, Optional<EngineControl>> directEngines,
            String holder,
            VmCapacity capacity) {
        this.engine = engine;
        this.election = election;
        this.lease = lease;
        this.scheduler = scheduler;
        this.transport = transport;
        this.directEngines = directEngines;
        this.holder = holder;
        this.capacity = capacity;
    }

    /** Starts the periodic work on the control thread. */
    public void start() {
        scheduleTick(CLAIM_CHECK_MS);
    }

    private void scheduleTick(long delayMs) {
        scheduler.executor().schedule(this::runTick, delayMs, TimeUnit.MILLISECONDS);
    }

    private void runTick() {
        try {
            tick();
        } finally {
            scheduleTick(leader.isPresent() ? LEADER_TICK_MS : CLAIM_CHECK_MS);
        }
    }

    /**
     * Stops claiming leadership, and gives it up as soon as no step can be held by commands of this
     * leader.
     */
    public void stop() {
        stopping = true;
    }

    /**
     * Returns whether this agent leads its group.
     *
     * @return true from a successful claim until leadership is lost or given up
     */
    public boolean isLeading() {
        return leading;
    }

    /**
     * Replaces the known agents. Must be called on the control thread.
     *
     * @param known the agents of all groups, including this one, not null
     */
    public void setAgents(List<AgentAddress> known) {
        peers.keySet().retainAll(Set.copyOf(known));
        for (AgentAddress address : known) {
            peers.computeIfAbsent(
                    address, added -> new RankPeer(transport, added, directEngines.apply(added)));
        }
    }

    /**
     * Replaces the shape of the group. Must be called on the control thread.
     *
     * @param declared the shape, not null; empty if the engine is not a rank of a group
     */
    public void setShape(Optional<GroupShape> declared) {
        shape = declared;
    }

    private void tick() {
        try {
            long nowNanos = scheduler.nowNanos();
            if (leader.isPresent()) {
                runLeader(leader.get(), nowNanos);
            } else if (!stopping) {
                claimIfDue(nowNanos);
            }
            leading = leader.isPresent();
        } catch (RuntimeException e) {
            LOG.error("{}", LogLine.event("agent_tick_failed").with("cause", e), e);
        }
    }

    private void runLeader(GroupLeader ownLeader, long nowNanos) {
        ownLeader.tick(List.copyOf(peers.values()), polling(), nowNanos);
        if (ownLeader.hasSteppedDown() || (stopping && !ownLeader.mayHold())) {
            leader = Optional.empty();
        }
    }

    private LeaderPolling polling() {
        int counters = shape.map(known -> known.layers() * known.experts()).orElse(1);
        int ranks = groupSize > 0 ? groupSize : Math.max(1, peers.size());
        return LeaderPolling.of(ranks, counters, capacity);
    }

    private void claimIfDue(long nowNanos) {
        boolean leaderSilent = election.leaderSilenceMs(nowNanos) >= polling().electionTimeoutMs();
        if (claiming || !leaderSilent || shape.isEmpty() || peers.isEmpty()) {
            return;
        }
        claiming = true;
        engine.status()
                .whenCompleteAsync(
                        (status, failure) -> {
                            claiming = false;
                            if (failure == null) {
                                claimIfDue(status, scheduler.nowNanos());
                            }
                        },
                        scheduler.executor());
    }

    private void claimIfDue(RankStatus ownStatus, long nowNanos) {
        groupSize = ownStatus.size();
        if (!election.shouldClaimLease(ownStatus.rank(), polling().electionTimeoutMs(), nowNanos)) {
            return;
        }
        claiming = true;
        String group = ownStatus.group();
        lease.currentToken(group)
                .thenCompose(token -> claimIfUnseen(group, token))
                .whenCompleteAsync(
                        (token, failure) -> onClaim(ownStatus, token, failure),
                        scheduler.executor());
    }

    /**
     * Claims the lease unless some agent sees a leader. The token was read before the agents are
     * asked, so that of several agents that miss the same leader only one can replace it.
     *
     * @return the fencing token of this agent; 0 if there is a leader
     */
    private CompletableFuture<Long> claimIfUnseen(String group, long silentToken) {
        return leaderContactAgeMs(group)
                .thenComposeAsync(
                        ageMs -> {
                            if (ageMs.isEmpty()) {
                                return lease.claim(group, holder, silentToken);
                            }
                            election.onLeaderSeenByPeer(ageMs.getAsLong(), scheduler.nowNanos());
                            return CompletableFuture.completedFuture(NO_TOKEN);
                        },
                        scheduler.executor());
    }

    /**
     * Queries the other agents: a leader that does not reach this agent may still reach them.
     *
     * @return the time since a live leader contacted the first agent that reports one, in
     *     milliseconds; empty if no agent does
     */
    private CompletableFuture<OptionalLong> leaderContactAgeMs(String group) {
        RankStatusQuery query = new RankStatusQuery(group, 0, false, false);
        long silenceMs = polling().electionTimeoutMs();
        CompletableFuture<OptionalLong> contactAgeMs = new CompletableFuture<>();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (RankPeer peer : peers.values()) {
            answers.add(
                    peer.query(query, LEADER_QUERY_TIMEOUT_MS)
                            .handle(
                                    (report, failure) -> {
                                        if (failure == null
                                                && reportsLiveLeader(report, silenceMs)) {
                                            contactAgeMs.complete(
                                                    OptionalLong.of(report.leaderContactAgeMs()));
                                        }
                                        return null;
                                    }));
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenRun(() -> contactAgeMs.complete(OptionalLong.empty()));
        return contactAgeMs;
    }

    private static boolean reportsLiveLeader(RankReport report, long silenceMs) {
        return report.leaderToken() > 0 && report.leaderContactAgeMs() < silenceMs;
    }

    private void onClaim(RankStatus ownStatus, Long token, Throwable failure) {
        claiming = false;
        long nowNanos = scheduler.nowNanos();
        if (failure != null) {
            LOG.info(
                    "{}",
                    LogLine.event("lease_not_claimed")
                            .with("group", ownStatus.group())
                            .with("cause", failure));
        } else if (token != NO_TOKEN
                && election.onLeaderCall(token, nowNanos)
                && shape.isPresent()) {
            leader =
                    Optional.of(
                            new GroupLeader(
                                    token,
                                    ownStatus,
                                    shape.get(),
                                    capacity,
                                    polling(),
                                    scheduler,
                                    nowNanos));
            LOG.info(
                    "{}",
                    LogLine.event("lease_claimed")
                            .with("group", ownStatus.group())
                            .with("token", token));
            tick();
        }
    }
}
