package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.LeaderElection;
import io.pollenpath.coordination.group.LeaderPolling;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the agent of one rank: watches over the lead of its group, and leads it when no other agent
 * does. Everything happens on the control thread.
 */
public final class GroupAgent {

    private static final Logger LOG = LoggerFactory.getLogger(GroupAgent.class);
    private static final long TICK_MS = 30;
    private static final long IDLE_TICKS = 4;
    private static final long HEARSAY_TIMEOUT_MS = 250;

    private final EngineControl engine;
    private final LeaderElection candidacy;
    private final LeaderLease lease;
    private final ScheduledExecutorService control;
    private final HttpClient http;
    private final Function<AgentAddress, Optional<EngineControl>> direct;
    private final String holder;
    private final VmCapacity capacity;
    private final Map<AgentAddress, RankPeer> peers = new HashMap<>();
    private Optional<GroupShape> shape = Optional.empty();
    private Optional<GroupLeader> leader = Optional.empty();
    private int groupSize;
    private boolean claiming;
    private long ticks;
    private volatile boolean stopping;
    private volatile boolean leading;

    /**
     * Creates an agent; it does nothing before {@link #start}.
     *
     * @param engine the engine on this VM, not null
     * @param candidacy remembers leaders, not null
     * @param lease keeps who leads, not null
     * @param control the control thread, not null
     * @param http calls other agents, not null
     * @param direct reaches the engine of another agent; empty where engines keep no fences
     * @param holder names this start of this process, not null
     * @param capacity what this VM gives to its agent, not null
     */
    public GroupAgent(
            EngineControl engine,
            LeaderElection candidacy,
            LeaderLease lease,
            ScheduledExecutorService control,
            HttpClient http,
            Function<AgentAddress, Optional<EngineControl>> direct,
            String holder,
            VmCapacity capacity) {
        this.engine = engine;
        this.candidacy = candidacy;
        this.lease = lease;
        this.control = control;
        this.http = http;
        this.direct = direct;
        this.holder = holder;
        this.capacity = capacity;
    }

    /** Starts the timers. */
    public void start() {
        control.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Gives up the lead as soon as no step can be held because of it, and claims none. */
    public void stop() {
        stopping = true;
    }

    /**
     * Tells whether this agent leads its group.
     *
     * @return true from a claim until the lead is lost or given up
     */
    public boolean isLeading() {
        return leading;
    }

    /**
     * Replaces the known agents; called on the control thread.
     *
     * @param known the agents of all groups, this one among them, not null
     */
    public void setAgents(List<AgentAddress> known) {
        peers.keySet().retainAll(Set.copyOf(known));
        for (AgentAddress address : known) {
            peers.computeIfAbsent(address, added -> new RankPeer(http, added, direct.apply(added)));
        }
    }

    /**
     * Replaces the shape of the group; called on the control thread.
     *
     * @param declared the shape; empty if the engine is no rank
     */
    public void setShape(Optional<GroupShape> declared) {
        shape = declared;
    }

    private void tick() {
        try {
            ticks++;
            long nowNanos = System.nanoTime();
            if (leader.isPresent()) {
                lead(leader.get(), nowNanos);
            } else if (!stopping && ticks % IDLE_TICKS == 0) {
                considerClaim(nowNanos);
            }
            leading = leader.isPresent();
        } catch (RuntimeException e) {
            LOG.error("{}", LogLine.event("agent_tick_failed").with("cause", e), e);
        }
    }

    private void lead(GroupLeader own, long nowNanos) {
        own.tick(List.copyOf(peers.values()), pace(), nowNanos);
        if (own.isDeposed() || (stopping && !own.mayHold())) {
            leader = Optional.empty();
        }
    }

    private LeaderPolling pace() {
        int counters = shape.map(known -> known.layers() * known.experts()).orElse(1);
        int ranks = groupSize > 0 ? groupSize : Math.max(1, peers.size());
        return LeaderPolling.of(ranks, counters, capacity);
    }

    private void considerClaim(long nowNanos) {
        boolean silent = candidacy.leaderSilenceMs(nowNanos) >= pace().electionTimeoutMs();
        if (claiming || !silent || shape.isEmpty() || peers.isEmpty()) {
            return;
        }
        claiming = true;
        engine.status()
                .whenCompleteAsync(
                        (status, failure) -> {
                            claiming = false;
                            if (failure == null) {
                                considerClaim(status, System.nanoTime());
                            }
                        },
                        control);
    }

    private void considerClaim(RankStatus own, long nowNanos) {
        groupSize = own.size();
        if (!candidacy.shouldClaimLease(own.rank(), pace().electionTimeoutMs(), nowNanos)) {
            return;
        }
        claiming = true;
        anyHeardLeader(own.group())
                .thenCompose(
                        heard ->
                                heard
                                        ? CompletableFuture.completedFuture(0L)
                                        : lease.claim(own.group(), holder))
                .whenCompleteAsync((token, failure) -> onClaim(own, token, failure), control);
    }

    /** Asks the other agents whether they hear a leader that this one does not. */
    private CompletableFuture<Boolean> anyHeardLeader(String group) {
        RankQuestion question = new RankQuestion(group, 0, false, false);
        long silenceMs = pace().electionTimeoutMs();
        CompletableFuture<Boolean> heard = new CompletableFuture<>();
        List<CompletableFuture<Void>> answers = new ArrayList<>();
        for (RankPeer peer : peers.values()) {
            answers.add(
                    peer.query(question, HEARSAY_TIMEOUT_MS)
                            .handle(
                                    (report, failure) -> {
                                        if (failure == null && tellsOfLeader(report, silenceMs)) {
                                            heard.complete(true);
                                        }
                                        return null;
                                    }));
        }
        CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenRun(() -> heard.complete(false));
        return heard;
    }

    private static boolean tellsOfLeader(RankReport report, long silenceMs) {
        return report.leaderToken() > 0 && report.leaderHeardMs() < silenceMs;
    }

    private void onClaim(RankStatus own, Long token, Throwable failure) {
        claiming = false;
        long nowNanos = System.nanoTime();
        if (failure != null) {
            LOG.info(
                    "{}",
                    LogLine.event("lease_not_claimed")
                            .with("group", own.group())
                            .with("cause", failure));
        } else if (token == 0) {
            candidacy.onLeaderSeenByPeer(nowNanos);
        } else if (candidacy.onLeaderCall(token, nowNanos) && shape.isPresent()) {
            leader = Optional.of(new GroupLeader(token, own, shape.get(), control, nowNanos));
            LOG.info(
                    "{}",
                    LogLine.event("lease_claimed").with("group", own.group()).with("token", token));
        }
    }
}
