package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.AddressedCommand;
import io.pollenpath.coordination.group.LeaderListener;
import io.pollenpath.coordination.group.LeaderPolling;
import io.pollenpath.coordination.group.LeaderState;
import io.pollenpath.coordination.group.MapCommit;
import io.pollenpath.coordination.group.MapPlanner;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.util.LogLine;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries the decisions of a group's leader to the agents and their answers back. All calls come
 * from the control thread.
 */
final class GroupLeader implements LeaderListener {

    private static final Logger LOG = LoggerFactory.getLogger(GroupLeader.class);
    private static final long MIN_QUERY_TIMEOUT_MS = 250;

    /** How often an agent of another group is asked, in case its engine changes groups. */
    private static final long STRANGER_POLL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** How old the state may be that an engine tells others than its own agent. */
    private static final long ENGINE_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private final long token;
    private final String group;
    private final Executor control;
    private final LeaderState lead;
    private final Map<Integer, RankPeer> peers = new HashMap<>();
    private final Map<RankPeer, Integer> ranks = new HashMap<>();
    private final Map<RankPeer, Long> strangers = new HashMap<>();
    private final Set<Integer> ordering = new HashSet<>();
    private final Set<RankPeer> asking = new HashSet<>();
    private final Set<RankPeer> unreached = new HashSet<>();
    private boolean deposed;
    private long nextPollNanos;

    GroupLeader(long token, RankStatus own, GroupShape shape, Executor control, long nowNanos) {
        this.token = token;
        this.control = control;
        group = own.group();
        lead = new LeaderState(token, own.rank(), shape, this);
        nextPollNanos = nowNanos;
    }

    boolean isDeposed() {
        return deposed;
    }

    /** Tells whether a step may be held because of this leader. */
    boolean mayHold() {
        return lead.mayHold();
    }

    /** Polls the agents and moves on; called often. */
    void tick(List<RankPeer> known, LeaderPolling pace, long nowNanos) {
        if (nowNanos - nextPollNanos >= 0) {
            nextPollNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pace.pollPeriodMs());
            lead.updateDemand();
            for (RankPeer peer : known) {
                if (nowNanos - strangers.getOrDefault(peer, nowNanos) >= 0) {
                    poll(peer, pace);
                }
            }
        }
        advance(nowNanos);
    }

    private void poll(RankPeer peer, LeaderPolling pace) {
        if (lead.isBusy() && peer.asksEngine()) {
            pollEngine(peer);
        }
        if (!asking.add(peer)) {
            return;
        }
        Integer rank = ranks.get(peer);
        boolean withCounts = lead.isRecovered() && rank != null && pace.isSampled(rank);
        RankQuestion question = new RankQuestion(group, token, withCounts, lead.needsExperts());
        long askedNanos = System.nanoTime();
        peer.query(question, Math.max(MIN_QUERY_TIMEOUT_MS, 2 * pace.pollPeriodMs()))
                .whenCompleteAsync(
                        (report, failure) -> {
                            asking.remove(peer);
                            if (failure == null) {
                                onReport(peer, report, askedNanos);
                                advance(System.nanoTime());
                            }
                        },
                        control);
    }

    private void pollEngine(RankPeer peer) {
        long askedNanos = System.nanoTime();
        peer.queryEngine()
                .whenCompleteAsync(
                        (report, failure) -> {
                            if (failure == null) {
                                unreached.remove(peer);
                                onReport(peer, report, askedNanos - ENGINE_LAG_NANOS);
                                advance(System.nanoTime());
                            } else if (unreached.add(peer)) {
                                LOG.info(
                                        "{}",
                                        LogLine.event("engine_not_reached")
                                                .with("engine", peer.engine())
                                                .with("cause", failure));
                            }
                        },
                        control);
    }

    /** Takes an answer to a call that was made at a time, and so tells a state since then. */
    private void onReport(RankPeer peer, RankReport report, long askedNanos) {
        if (report.deposes(token)) {
            depose(report);
            return;
        }
        if (report.status().isEmpty()) {
            return;
        }
        RankStatus status = report.status().get();
        if (!status.group().equals(group)) {
            strangers.put(peer, System.nanoTime() + STRANGER_POLL_NANOS);
            return;
        }
        strangers.remove(peer);
        peers.put(status.rank(), peer);
        ranks.put(peer, status.rank());
        lead.onStatus(status, askedNanos);
        lead.onCounts(report.counts());
        if (!report.experts().isEmpty()) {
            lead.onExperts(status.rank(), report.experts());
        }
    }

    private void depose(RankReport report) {
        if (!deposed) {
            LOG.info(
                    "{}",
                    LogLine.event("leader_deposed")
                            .with("group", group)
                            .with("token", token)
                            .with("by", report.leaderToken()));
        }
        deposed = true;
    }

    private void advance(long nowNanos) {
        if (!deposed) {
            lead.nextCommands(nowNanos).forEach(this::send);
        }
    }

    private void send(AddressedCommand order) {
        RankPeer peer = peers.get(order.rank());
        if (peer == null || !ordering.add(order.rank())) {
            return;
        }
        long askedNanos = System.nanoTime();
        peer.command(order.command(), group, lead.epoch(), token)
                .whenCompleteAsync(
                        (report, failure) -> {
                            ordering.remove(order.rank());
                            if (failure == null) {
                                onOutcome(peer, order, report, askedNanos);
                            }
                        },
                        control);
    }

    private void onOutcome(
            RankPeer peer, AddressedCommand order, RankReport report, long askedNanos) {
        long nowNanos = System.nanoTime();
        lead.onOutcome(order, report.outcome().orElse(CommandResult.UNKNOWN), nowNanos);
        onReport(peer, report, askedNanos);
        advance(nowNanos);
    }

    @Override
    public void onCommitStarted(MapCommit commit, MapPlanner.Plan plan) {
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
        logCommit("commit_taken_over", commit);
    }

    @Override
    public void onCommitEnded(MapCommit commit, boolean superseded) {
        logCommit(superseded ? "commit_superseded" : "commit_over", commit);
    }

    private void logCommit(String event, MapCommit about) {
        LOG.info(
                "{}",
                LogLine.event(event)
                        .with("group", group)
                        .with("version", about.version())
                        .with("step", about.step())
                        .with("phase", about.phase()));
    }

    @Override
    public void onRecovered(long epoch) {
        LOG.info("{}", LogLine.event("group_settled").with("group", group).with("epoch", epoch));
    }

    @Override
    public void onEpochChanged(long epoch, long before) {
        LOG.info(
                "{}",
                LogLine.event("group_epoch")
                        .with("group", group)
                        .with("epoch", epoch)
                        .with("before", before));
    }
}
