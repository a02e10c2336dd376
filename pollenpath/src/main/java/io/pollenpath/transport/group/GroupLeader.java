package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.AddressedCommand;
import io.pollenpath.coordination.group.CommandBackoff;
import io.pollenpath.coordination.group.LeaderListener;
import io.pollenpath.coordination.group.LeaderPolling;
import io.pollenpath.coordination.group.LeaderState;
import io.pollenpath.coordination.group.MapCommit;
import io.pollenpath.coordination.group.MapPlanner;
import io.pollenpath.coordination.group.SendWindow;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.util.LogLine;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the leader of a group: polls the agents, passes their reports to the leader's state, and
 * sends the resulting commands. Must be called on the control thread only.
 */
final class GroupLeader implements LeaderListener {

    private static final Logger LOG = LoggerFactory.getLogger(GroupLeader.class);
    private static final long MIN_QUERY_TIMEOUT_MS = 250;

    /** Poll interval for agents of other groups, whose engines may join this group later. */
    private static final long FOREIGN_POLL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Greatest age of the state that an engine reports to any client other than its own agent. */
    private static final long MAX_ENGINE_STATE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Size of a command in the text of the engines' API, in multiples of an agent's message. */
    private static final int DIRECT_SIZE_FACTOR = 4;

    private final long token;
    private final String group;
    private final AgentScheduler scheduler;
    private final LeaderState state;
    private final Map<Integer, RankPeer> peersByRank = new HashMap<>();
    private final Map<RankPeer, Integer> ranksByPeer = new HashMap<>();

    /** Time of the next poll of each agent of another group, by the clock of the scheduler. */
    private final Map<RankPeer, Long> nextForeignPolls = new HashMap<>();

    /** Ranks with a command that is not answered yet. */
    private final Set<Integer> pendingCommands = new HashSet<>();

    /** Ranks that refused the present map, whose agents may not know the map that it changes. */
    private final Set<Integer> ranksWithoutBase = new HashSet<>();

    /** Agents with a query that is not answered yet. */
    private final Set<RankPeer> pendingQueries = new HashSet<>();

    /** Agents whose engine has a query that is not answered yet. */
    private final Set<RankPeer> pendingEngineQueries = new HashSet<>();

    /** Peers whose engine did not answer the last direct query, so that this is logged once. */
    private final Set<RankPeer> unreachableEngines = new HashSet<>();

    private final LeaderCallStats stats;
    private final SendWindow window;
    private final CommandEncoder encoder;
    private final CommandBackoff backoff = new CommandBackoff();
    private boolean steppedDown;
    private long nextPollNanos;
    private long commitStartNanos;

    GroupLeader(
            long token,
            RankStatus ownStatus,
            GroupShape shape,
            VmCapacity capacity,
            AgentScheduler scheduler,
            long nowNanos) {
        this.token = token;
        this.scheduler = scheduler;
        group = ownStatus.group();
        state = new LeaderState(token, ownStatus.rank(), shape, this);
        nextPollNanos = nowNanos;
        stats = new LeaderCallStats(nowNanos);
        window = new SendWindow(capacity.linkBytesPerSecond());
        encoder = new CommandEncoder(group, token);
    }

    boolean hasSteppedDown() {
        return steppedDown;
    }

    /** Returns whether a step may be held by commands of this leader. */
    boolean mayHold() {
        return state.mayHold();
    }

    /**
     * Polls the agents if a poll is due, and sends the commands that are due. Called periodically.
     */
    void tick(List<RankPeer> known, LeaderPolling polling, long nowNanos) {
        if (nowNanos - nextPollNanos >= 0) {
            stats.onRound(nowNanos - nextPollNanos);
            nextPollNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(polling.pollPeriodMs());
            state.updateDemand();
            for (RankPeer peer : known) {
                if (nowNanos - nextForeignPolls.getOrDefault(peer, nowNanos) >= 0) {
                    poll(peer, polling);
                }
            }
        }
        advance(nowNanos);
        stats.lineIfDue(nowNanos)
                .ifPresent(line -> LOG.info("{}", line.with("group", group).with("token", token)));
    }

    private void poll(RankPeer peer, LeaderPolling polling) {
        if (state.isBusy() && peer.canQueryEngine()) {
            pollEngine(peer);
        }
        if (!pendingQueries.add(peer)) {
            return;
        }
        Integer rank = ranksByPeer.get(peer);
        boolean withCounts = state.isRecovered() && rank != null && polling.isSampled(rank);
        RankStatusQuery query = new RankStatusQuery(group, token, withCounts, state.needsExperts());
        long sentNanos = scheduler.nowNanos();
        peer.query(query, Math.max(MIN_QUERY_TIMEOUT_MS, 2 * polling.pollPeriodMs()))
                .whenCompleteAsync(
                        (report, failure) -> {
                            pendingQueries.remove(peer);
                            stats.onQuery(failure == null);
                            if (failure == null) {
                                onReport(peer, report, sentNanos);
                                advance(scheduler.nowNanos());
                            }
                        },
                        scheduler.executor());
    }

    private void pollEngine(RankPeer peer) {
        if (!pendingEngineQueries.add(peer)) {
            return;
        }
        long sentNanos = scheduler.nowNanos();
        peer.queryEngine()
                .whenCompleteAsync(
                        (report, failure) -> {
                            pendingEngineQueries.remove(peer);
                            if (failure == null) {
                                unreachableEngines.remove(peer);
                                onReport(peer, report, sentNanos - MAX_ENGINE_STATE_AGE_NANOS);
                                advance(scheduler.nowNanos());
                            } else if (unreachableEngines.add(peer)) {
                                LOG.info(
                                        "{}",
                                        LogLine.event("engine_not_reached")
                                                .with("engine", peer.engine())
                                                .with("cause", failure));
                            }
                        },
                        scheduler.executor());
    }

    /** Handles the response to a call. Its state was read at {@code sentNanos} or later. */
    private void onReport(RankPeer peer, RankReport report, long sentNanos) {
        if (report.supersedes(token)) {
            stepDown(report);
            return;
        }
        if (report.status().isEmpty()) {
            return;
        }
        RankStatus status = report.status().get();
        if (!status.group().equals(group)) {
            nextForeignPolls.put(peer, scheduler.nowNanos() + FOREIGN_POLL_NANOS);
            return;
        }
        nextForeignPolls.remove(peer);
        peersByRank.put(status.rank(), peer);
        ranksByPeer.put(peer, status.rank());
        state.onStatus(status, sentNanos);
        state.onCounts(report.counts());
        if (!report.experts().isEmpty()) {
            state.onExperts(status.rank(), report.experts());
        }
    }

    private void stepDown(RankReport report) {
        if (!steppedDown) {
            LOG.info(
                    "{}",
                    LogLine.event("leader_deposed")
                            .with("group", group)
                            .with("token", token)
                            .with("by", report.leaderToken()));
        }
        steppedDown = true;
    }

    private void advance(long nowNanos) {
        if (!steppedDown) {
            state.nextCommands(nowNanos).forEach(command -> send(command, nowNanos));
        }
    }

    /** Sends a command, unless the rank has one in progress, or its delay or the window forbid. */
    private void send(AddressedCommand addressed, long nowNanos) {
        RankPeer peer = peersByRank.get(addressed.rank());
        boolean blocked =
                pendingCommands.contains(addressed.rank())
                        || !backoff.isDue(addressed.rank(), nowNanos);
        if (peer == null || blocked) {
            return;
        }
        EngineCommand command = addressed.command();
        boolean direct = peer.canQueryEngine();
        boolean whole = direct || ranksWithoutBase.contains(addressed.rank());
        byte[] body = encoder.encode(command, state.epoch(), whole);
        int bytes = direct ? DIRECT_SIZE_FACTOR * body.length : body.length;
        if (!window.tryAcquire(bytes)) {
            return;
        }
        pendingCommands.add(addressed.rank());
        stats.onCommandSent(bytes, direct);
        peer.command(command, body, state.epoch(), token, window.timeoutMs())
                .whenCompleteAsync(
                        (report, failure) -> {
                            pendingCommands.remove(addressed.rank());
                            window.release(bytes);
                            if (failure == null) {
                                onOutcome(peer, addressed, report, nowNanos);
                            }
                        },
                        scheduler.executor());
    }

    private void onOutcome(
            RankPeer peer, AddressedCommand addressed, RankReport report, long sentNanos) {
        long nowNanos = scheduler.nowNanos();
        CommandResult result = report.outcome().orElse(CommandResult.UNKNOWN);
        stats.onCommandEnded(result);
        backoff.onOutcome(addressed.rank(), result == CommandResult.ACCEPTED, nowNanos);
        if (result == CommandResult.REJECTED
                && addressed.command() instanceof EngineCommand.Prepare) {
            ranksWithoutBase.add(addressed.rank());
        }
        state.onOutcome(addressed, result, nowNanos);
        onReport(peer, report, sentNanos);
        advance(nowNanos);
    }

    @Override
    public void onCommitStarted(MapCommit commit, MapPlanner.Plan plan) {
        commitStartNanos = scheduler.nowNanos();
        encoder.setBase(state.activeMap());
        ranksWithoutBase.clear();
        LOG.info(
                "{}",
                LogLine.event("commit_started")
                        .with("group", group)
                        .with("version", commit.version())
                        .with("excess_now", plan.imbalanceNow())
                        .with("excess_then", plan.imbalanceThen())
                        .with("fetches", plan.fetches()));
    }

    @Override
    public void onCommitTakenOver(MapCommit commit) {
        commitStartNanos = scheduler.nowNanos();
        logCommit("commit_taken_over", commit);
    }

    @Override
    public void onCommitEnded(MapCommit commit, boolean superseded) {
        logCommit(superseded ? "commit_superseded" : "commit_over", commit);
    }

    private void logCommit(String event, MapCommit commit) {
        LOG.info(
                "{}",
                LogLine.event(event)
                        .with("group", group)
                        .with("version", commit.version())
                        .with("step", commit.step())
                        .with("phase", commit.phase())
                        .with("prepared", commit.preparedRanks())
                        .with("armed", commit.armedRanks())
                        .with(
                                "took_ms",
                                TimeUnit.NANOSECONDS.toMillis(
                                        scheduler.nowNanos() - commitStartNanos)));
    }

    @Override
    public void onRecovered(long epoch) {
        LOG.info("{}", LogLine.event("group_settled").with("group", group).with("epoch", epoch));
    }

    @Override
    public void onEpochChanged(long epoch, long previousEpoch) {
        LOG.info(
                "{}",
                LogLine.event("group_epoch")
                        .with("group", group)
                        .with("epoch", epoch)
                        .with("before", previousEpoch));
    }
}
