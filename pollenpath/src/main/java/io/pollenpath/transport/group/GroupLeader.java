package io.pollenpath.transport.group;

import io.pollenpath.coordination.group.AddressedOrder;
import io.pollenpath.coordination.group.ExpertDemand;
import io.pollenpath.coordination.group.MapCommit;
import io.pollenpath.coordination.group.MapPlanner;
import io.pollenpath.coordination.group.MapSettlement;
import io.pollenpath.coordination.group.RebalanceRule;
import io.pollenpath.state.group.GroupMap;
import io.pollenpath.state.group.OrderOutcome;
import io.pollenpath.state.group.RankOrder;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leads one rank group under one fencing token: settles what an earlier leader left, then follows
 * the demand of the experts and changes the map when that repays itself. All calls come from the
 * control thread.
 */
final class GroupLeader {

    private static final Logger LOG = LoggerFactory.getLogger(GroupLeader.class);
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long PREPARE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long ENGINE_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Versions of one leader are counted within its token. */
    private static final int VERSION_BITS = 20;

    private final long token;
    private final String group;
    private final GroupShape shape;
    private final int ownRank;
    private final Executor control;
    private final MapPlanner planner;
    private final Map<Integer, RankPeer> peers = new HashMap<>();
    private final Map<Integer, RankStatus> statuses = new HashMap<>();
    private final Map<Integer, List<List<Integer>>> experts = new HashMap<>();
    private final Map<Long, GroupMap> maps = new HashMap<>();
    private final Set<Integer> ordering = new HashSet<>();
    private final Set<RankPeer> asking = new HashSet<>();
    private ExpertDemand demand;
    private Optional<MapSettlement> settlement = Optional.empty();
    private Optional<MapCommit> commit = Optional.empty();
    private boolean settled;
    private boolean deposed;
    private long changes;
    private long shiftsPlanned;
    private long nextPollNanos;
    private long epoch = -1;

    GroupLeader(long token, RankStatus own, GroupShape shape, Executor control, long nowNanos) {
        this.token = token;
        this.shape = shape;
        this.control = control;
        group = own.group();
        ownRank = own.rank();
        planner = new MapPlanner(shape);
        demand = new ExpertDemand(shape.layers(), shape.experts());
        nextPollNanos = nowNanos;
    }

    boolean isDeposed() {
        return deposed;
    }

    /** Polls the agents and moves on; called often. */
    void tick(List<RankPeer> known, long nowNanos) {
        if (nowNanos - nextPollNanos >= 0) {
            boolean busy = commit.isPresent() || !settled;
            nextPollNanos = nowNanos + POLL_NANOS;
            demand.fold();
            known.forEach(peer -> poll(peer, busy));
        }
        advance(nowNanos);
    }

    private void poll(RankPeer peer, boolean busy) {
        if (!asking.add(peer)) {
            return;
        }
        boolean needExperts = settled && !busy && mapInUse().isEmpty();
        RankQuestion question = new RankQuestion(token, settled, needExperts);
        peer.query(question)
                .whenCompleteAsync(
                        (report, failure) -> {
                            asking.remove(peer);
                            if (failure == null) {
                                onReport(peer, report, System.nanoTime(), 0);
                            } else if (busy) {
                                pollEngine(peer);
                            }
                        },
                        control);
    }

    private void pollEngine(RankPeer peer) {
        peer.queryEngine()
                .whenCompleteAsync(
                        (report, failure) -> {
                            if (failure == null) {
                                onReport(peer, report, System.nanoTime(), ENGINE_LAG_NANOS);
                            }
                        },
                        control);
    }

    private void onReport(RankPeer peer, RankReport report, long nowNanos, long lagNanos) {
        if (report.deposes(token)) {
            depose(report);
            return;
        }
        if (report.status().isEmpty() || !report.status().get().group().equals(group)) {
            return;
        }
        RankStatus status = report.status().get();
        peers.put(status.rank(), peer);
        statuses.put(status.rank(), status);
        if (status.epoch() > epoch) {
            onNewEpoch(status.epoch());
        }
        settlement.ifPresent(open -> open.onStatus(status, nowNanos - lagNanos));
        commit.ifPresent(open -> open.onStatus(status));
        demand.onCounts(status.rank(), report.counts());
        if (!report.experts().isEmpty()) {
            experts.put(status.rank(), report.experts());
        }
        advance(nowNanos);
    }

    private void onNewEpoch(long newEpoch) {
        if (epoch >= 0) {
            LOG.info(
                    "{}",
                    LogLine.event("group_epoch")
                            .with("group", group)
                            .with("epoch", newEpoch)
                            .with("before", epoch));
        }
        epoch = newEpoch;
        settled = false;
        settlement = Optional.empty();
        commit = Optional.empty();
        experts.clear();
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
        if (deposed || !allRanksKnown()) {
            return;
        }
        if (!settled) {
            settle();
        } else if (commit.isPresent()) {
            advanceCommit(commit.get(), nowNanos);
        } else if (isQuiet()) {
            plan(nowNanos);
        }
    }

    private boolean allRanksKnown() {
        RankStatus any = statuses.get(ownRank);
        if (any == null || statuses.size() != any.size()) {
            return false;
        }
        return statuses.values().stream()
                .allMatch(status -> status.epoch() == epoch && status.open());
    }

    private void settle() {
        if (commit.isPresent()) {
            finishLeftOver(commit.get());
            return;
        }
        MapSettlement open =
                settlement.orElseGet(
                        () -> new MapSettlement(statuses.size(), token << VERSION_BITS));
        settlement = Optional.of(open);
        if (open.isSettled()) {
            settled = true;
            settlement = Optional.empty();
            experts.clear();
            LOG.info("{}", LogLine.event("group_settled").with("group", group).with("epoch", epoch));
            return;
        }
        Optional<MapCommit> unfinished = open.unfinished();
        if (unfinished.isPresent()) {
            commit = unfinished;
            logCommit("commit_taken_over", unfinished.get());
            return;
        }
        List<AddressedOrder> orders = open.orders();
        send(orders);
        if (open.isRead()) {
            open.readAgain();
        }
    }

    private void finishLeftOver(MapCommit left) {
        send(left.next(System.nanoTime()));
        if (isOver(left)) {
            logCommit("commit_over", left);
            commit = Optional.empty();
            settlement.ifPresent(MapSettlement::readAgain);
        }
    }

    private static boolean isOver(MapCommit open) {
        return open.phase() == MapCommit.Phase.DONE
                || open.phase() == MapCommit.Phase.ABANDONED;
    }

    private void advanceCommit(MapCommit open, long nowNanos) {
        boolean fetching = open.phase() == MapCommit.Phase.PREPARING;
        if (fetching && demand.shifts() > shiftsPlanned) {
            logCommit("commit_superseded", open);
            commit = Optional.empty();
            return;
        }
        send(open.next(nowNanos));
        if (!isOver(open)) {
            return;
        }
        logCommit("commit_over", open);
        if (open.phase() == MapCommit.Phase.DONE) {
            open.map().ifPresent(map -> maps.put(open.version(), map));
        }
        commit = Optional.empty();
    }

    private boolean isQuiet() {
        long version = statuses.get(ownRank).mapVersion();
        return statuses.values().stream()
                .allMatch(status -> status.isQuiet() && status.mapVersion() == version);
    }

    private Optional<GroupMap> mapInUse() {
        RankStatus own = statuses.get(ownRank);
        if (own == null) {
            return Optional.empty();
        }
        GroupMap known = maps.get(own.mapVersion());
        if (known == null && experts.size() == own.size()) {
            List<List<List<Integer>>> byRank = new ArrayList<>();
            for (int rank = 0; rank < own.size(); rank++) {
                byRank.add(experts.get(rank));
            }
            known = GroupMap.ofRanks(byRank);
            maps.put(own.mapVersion(), known);
        }
        return Optional.ofNullable(known);
    }

    private void plan(long nowNanos) {
        Optional<GroupMap> current = mapInUse();
        if (current.isEmpty() || !demand.isSteady()) {
            return;
        }
        MapPlanner.Plan plan = planner.plan(current.get(), demand.shares());
        if (!RebalanceRule.repays(plan, shape)) {
            return;
        }
        changes++;
        shiftsPlanned = demand.shifts();
        long version = (token << VERSION_BITS) + changes;
        MapCommit started =
                new MapCommit(
                        version, plan.map(), epoch, ownRank, nowNanos + PREPARE_TIMEOUT_NANOS);
        statuses.values().forEach(started::onStatus);
        commit = Optional.of(started);
        LOG.info(
                "{}",
                LogLine.event("commit_started")
                        .with("group", group)
                        .with("version", version)
                        .with("excess_now", plan.excessNow())
                        .with("excess_then", plan.excessThen())
                        .with("fetches", plan.fetches()));
        send(started.next(nowNanos));
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

    private void send(List<AddressedOrder> orders) {
        for (AddressedOrder order : orders) {
            RankPeer peer = peers.get(order.rank());
            if (peer != null && ordering.add(order.rank())) {
                send(peer, order);
            }
        }
    }

    private void send(RankPeer peer, AddressedOrder sent) {
        peer.command(sent.order(), epoch, token)
                .whenCompleteAsync(
                        (report, failure) -> {
                            ordering.remove(sent.rank());
                            long nowNanos = System.nanoTime();
                            if (failure == null) {
                                onOutcome(sent, report, nowNanos);
                                onReport(peer, report, nowNanos, 0);
                            }
                            advance(nowNanos);
                        },
                        control);
    }

    private void onOutcome(AddressedOrder sent, RankReport report, long nowNanos) {
        OrderOutcome outcome = report.outcome().orElse(OrderOutcome.UNKNOWN);
        RankOrder order = sent.order();
        settlement.ifPresent(open -> open.onOutcome(sent.rank(), order, outcome, nowNanos));
        commit.ifPresent(open -> open.onOutcome(sent.rank(), order, outcome, nowNanos));
    }
}
