package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.Candidacy;
import io.pollenpath.coordination.group.LeadPace;
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
 * Runs the agent of one rank: monitors the leader of its group, and claims leadership when no other
 * agent leads. All state is confined to the control thread.
 */
public final class GroupAgent {

    private static final Logger LOG = LoggerFactory.getLogger(GroupAgent.class);
    private static final long TICK_MS = 30;
    private static final long IDLE_TICKS = 4;
    private static final long HEARSAY_TIMEOUT_MS = 250;

    private final EngineControl engine;
    private final Candidacy candidacy;
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
     * Creates an agent that is inactive until {@link #start}.
     *
     * @param engine the engine on this VM, not null
     * @param candidacy records contacts of leaders and decides when to claim leadership, not null
     * @param lease the store in which leadership is claimed, not null
     * @param control the control thread, not null
     * @param http the client for calls to other agents, not null
     * @param direct returns a client for the engine of another agent, not null; empty if engines do
     *     not check fencing tokens
     * @param holder identifies this process incarnation when it claims leadership, not null
     * @param capacity the resources of this VM that the agent may use, not null
     */
    public GroupAgent(
            EngineControl engine,
            Candidacy candidacy,
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

    /** Starts the periodic work on the control thread. */
    public void start() {
        control.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
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
            peers.computeIfAbsent(address, added -> new RankPeer(http, added, direct.apply(added)));
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

    private LeadPace pace() {
        int counters = shape.map(known -> known.layers() * known.experts()).orElse(1);
        int ranks = groupSize > 0 ? groupSize : Math.max(1, peers.size());
        return LeadPace.of(ranks, counters, capacity);
    }

    private void considerClaim(long nowNanos) {
        boolean silent = candidacy.silentMs(nowNanos) >= pace().silenceMs();
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
        if (!candidacy.shouldTry(own.rank(), pace().silenceMs(), nowNanos)) {
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

    /** Queries the other agents: a leader that does not reach this agent may still reach them. */
    private CompletableFuture<Boolean> anyHeardLeader(String group) {
        RankQuestion question = new RankQuestion(group, 0, false, false);
        long silenceMs = pace().silenceMs();
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
            candidacy.onHearsay(nowNanos);
        } else if (candidacy.onLeader(token, nowNanos) && shape.isPresent()) {
            leader = Optional.of(new GroupLeader(token, own, shape.get(), control, nowNanos));
            LOG.info(
                    "{}",
                    LogLine.event("lease_claimed").with("group", own.group()).with("token", token));
        }
    }
}
