package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.AddressedCommand;
import io.pollenpath.coordination.group.LeaderPolling;
import io.pollenpath.coordination.group.LeaderState;
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
final class GroupLeader {

    private static final Logger LOG = LoggerFactory.getLogger(GroupLeader.class);
    private static final long MIN_QUERY_TIMEOUT_MS = 250;

    /** Poll interval for agents of other groups, whose engines may join this group later. */
    private static final long FOREIGN_POLL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Greatest age of the state that an engine reports to any client other than its own agent. */
    private static final long MAX_ENGINE_STATE_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final long token;
    private final String group;
    private final AgentScheduler scheduler;
    private final LeaderState state;
    private final Map<Integer, RankPeer> peersByRank = new HashMap<>();
    private final Map<RankPeer, Integer> ranksByPeer = new HashMap<>();

    /** Time of the next poll of each agent of another group, by the clock of the scheduler. */
    private final Map<RankPeer, Long> nextForeignPolls = new HashMap<>();

    /** Agents with a query that is not answered yet. */
    private final Set<RankPeer> pendingQueries = new HashSet<>();

    /** Agents whose engine has a query that is not answered yet. */
    private final Set<RankPeer> pendingEngineQueries = new HashSet<>();

    /** Peers whose engine did not answer the last direct query, so that this is logged once. */
    private final Set<RankPeer> unreachableEngines = new HashSet<>();

    private final LeaderCallStats stats;
    private final CommandSender commands;
    private LeaderPolling polling;
    private boolean steppedDown;
    private long nextPollNanos;
    private long round;

    GroupLeader(
            long token,
            RankStatus ownStatus,
            GroupShape shape,
            VmCapacity capacity,
            LeaderPolling polling,
            AgentScheduler scheduler,
            long nowNanos) {
        this.token = token;
        this.polling = polling;
        this.scheduler = scheduler;
        group = ownStatus.group();
        state = new LeaderState(token, ownStatus.rank(), shape, new LeaderLog(group, scheduler));
        nextPollNanos = nowNanos;
        stats = new LeaderCallStats(nowNanos);
        commands = new CommandSender(group, token, state, capacity, scheduler, stats);
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
    void tick(List<RankPeer> known, LeaderPolling newPolling, long nowNanos) {
        polling = newPolling;
        if (nowNanos - nextPollNanos >= 0) {
            stats.onRound(nowNanos - nextPollNanos);
            nextPollNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(polling.pollPeriodMs());
            state.updateDemand(nowNanos);
            round++;
            for (RankPeer peer : known) {
                if (isPollDue(peer, nowNanos)) {
                    poll(peer);
                }
            }
        }
        advance(nowNanos);
        stats.lineIfDue(nowNanos)
                .ifPresent(line -> LOG.info("{}", line.with("group", group).with("token", token)));
    }

    private boolean isPollDue(RankPeer peer, long nowNanos) {
        Integer rank = ranksByPeer.get(peer);
        if (state.isSettled() && rank != null) {
            return polling.isPolledWhenSettled(rank, round);
        }
        return nowNanos - nextForeignPolls.getOrDefault(peer, nowNanos) >= 0;
    }

    private void poll(RankPeer peer) {
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
                                onAnswer(peer, report, sentNanos);
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
                                onAnswer(peer, report, sentNanos - MAX_ENGINE_STATE_AGE_NANOS);
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

    private void send(AddressedCommand addressed, long nowNanos) {
        RankPeer peer = peersByRank.get(addressed.rank());
        if (peer != null) {
            commands.send(addressed, peer, nowNanos, this::onAnswer);
        }
    }

    private void onAnswer(RankPeer peer, RankReport report, long sentNanos) {
        onReport(peer, report, sentNanos);
        if (report.isAnsweredWithoutStatus()) {
            poll(peer);
        }
        advance(scheduler.nowNanos());
    }
}
