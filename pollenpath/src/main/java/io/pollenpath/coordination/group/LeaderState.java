package io.pollenpath.coordination.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.GroupShape;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides for the leader of one group under one fencing token: settles what earlier leaders left in
 * each epoch, then follows the demand of the experts and changes the map when that repays itself.
 */
public final class LeaderState {

    private static final long PREPARE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Versions of one leader are counted within its token. */
    private static final int VERSION_BITS = 20;

    private final long token;
    private final int ownRank;
    private final GroupShape shape;
    private final MapPlanner planner;
    private final ExpertDemand demand;
    private final LeaderListener listener;
    private final Map<Integer, RankStatus> statuses = new HashMap<>();
    private final Map<Integer, List<List<Integer>>> experts = new HashMap<>();
    private final Map<Long, ExpertMap> maps = new HashMap<>();
    private Optional<MapSettlement> settlement = Optional.empty();
    private Optional<MapCommit> commit = Optional.empty();
    private boolean settled;
    private long epoch = -1;
    private long lastReleasedStep = -1;
    private long changes;
    private long shiftsPlanned;
    private long samplesPlanned;

    /**
     * Creates the state of a leader that knows nothing yet.
     *
     * @param token the fencing token
     * @param ownRank the rank beside the leader, at which steps are held
     * @param shape the shape of the group, not null
     * @param listener hears decisions, not null
     */
    public LeaderState(long token, int ownRank, GroupShape shape, LeaderListener listener) {
        this.token = token;
        this.ownRank = ownRank;
        this.shape = Objects.requireNonNull(shape, "shape");
        this.listener = Objects.requireNonNull(listener, "listener");
        planner = new MapPlanner(shape);
        demand = new ExpertDemand(shape.layers(), shape.experts());
    }

    /**
     * Takes the state of a rank.
     *
     * @param status the state, not null
     * @param readNanos when the engine was in that state at the earliest
     */
    public void onStatus(RankStatus status, long readNanos) {
        if (status.epoch() < epoch) {
            return;
        }
        if (status.epoch() > epoch) {
            enterEpoch(status.epoch());
        }
        statuses.put(status.rank(), status);
        settlement.ifPresent(open -> open.onStatus(status, readNanos));
        commit.ifPresent(open -> open.onStatus(status));
    }

    private void enterEpoch(long newEpoch) {
        if (epoch >= 0) {
            listener.onEpochChanged(newEpoch, epoch);
        }
        epoch = newEpoch;
        lastReleasedStep = -1;
        settled = false;
        settlement = Optional.empty();
        commit = Optional.empty();
        statuses.clear();
        experts.clear();
        maps.clear();
    }

    /**
     * Takes how often each expert was chosen by the requests of one rank.
     *
     * @param counts the choices since the rank was asked before, not null
     */
    public void onCounts(long[] counts) {
        demand.onCounts(counts);
    }

    /** Takes the counts since the last call into the estimate of the demand. */
    public void updateDemand() {
        demand.fold();
    }

    /**
     * Takes the experts that a rank holds under the map in use.
     *
     * @param rank the rank
     * @param held the experts, one list a set, not null
     */
    public void onExperts(int rank, List<List<Integer>> held) {
        experts.put(rank, held);
    }

    /**
     * Takes what became of an order.
     *
     * @param sent the order, not null
     * @param outcome what became of it, not null
     * @param nowNanos the present time
     */
    public void onOutcome(AddressedCommand sent, CommandResult outcome, long nowNanos) {
        EngineCommand order = sent.command();
        settlement.ifPresent(open -> open.onOutcome(sent.rank(), order, outcome, nowNanos));
        commit.ifPresent(open -> open.onOutcome(sent.rank(), order, outcome, nowNanos));
    }

    /**
     * Decides what to do now.
     *
     * @param nowNanos the present time
     * @return the orders to send, at most one for each rank; the caller leaves out ranks that still
     *     work on an earlier one
     */
    public List<AddressedCommand> nextCommands(long nowNanos) {
        if (!allRanksKnown()) {
            return List.of();
        }
        if (commit.isPresent()) {
            return advance(commit.get(), nowNanos);
        }
        if (!settled) {
            return settle(nowNanos);
        }
        return canStart() ? plan(nowNanos) : List.of();
    }

    /** Tells whether a change may be started: the group is settled and no change is under way. */
    boolean canStart() {
        return allRanksKnown() && settled && commit.isEmpty() && isQuiet();
    }

    private boolean allRanksKnown() {
        RankStatus any = statuses.get(ownRank);
        return any != null
                && statuses.size() == any.size()
                && statuses.values().stream().allMatch(RankStatus::open);
    }

    private List<AddressedCommand> settle(long nowNanos) {
        if (settlement.isEmpty()) {
            settlement = Optional.of(new MapSettlement(statuses.size(), token << VERSION_BITS));
        }
        MapSettlement open = settlement.get();
        if (open.isSettled()) {
            settled = true;
            settlement = Optional.empty();
            experts.clear();
            listener.onRecovered(epoch);
            return List.of();
        }
        commit = open.unfinished();
        if (commit.isPresent()) {
            listener.onCommitTakenOver(commit.get());
            return commit.get().next(nowNanos);
        }
        List<AddressedCommand> orders = open.orders();
        orders.forEach(this::noteRelease);
        if (open.isRead()) {
            open.readAgain();
        }
        return orders;
    }

    private void noteRelease(AddressedCommand sent) {
        if (sent.command() instanceof EngineCommand.Release release) {
            lastReleasedStep = Math.max(lastReleasedStep, release.step());
        }
    }

    private List<AddressedCommand> advance(MapCommit open, long nowNanos) {
        boolean fetching = open.phase() == MapCommit.Phase.PREPARING;
        if (fetching && demand.shifts() > shiftsPlanned) {
            end(open, true);
            return List.of();
        }
        List<AddressedCommand> orders = open.next(nowNanos);
        if (open.isOver()) {
            end(open, false);
        }
        return orders;
    }

    private void end(MapCommit over, boolean superseded) {
        listener.onCommitEnded(over, superseded);
        if (over.phase() == MapCommit.Phase.DONE) {
            over.map().ifPresent(map -> maps.put(over.version(), map));
        }
        commit = Optional.empty();
        settlement.ifPresent(MapSettlement::readAgain);
    }

    private boolean isQuiet() {
        long version = statuses.get(ownRank).mapVersion();
        return statuses.values().stream()
                .allMatch(status -> status.isMapStable() && status.mapVersion() == version);
    }

    private List<AddressedCommand> plan(long nowNanos) {
        Optional<ExpertMap> current = mapInUse();
        boolean same = demand.samples() == samplesPlanned;
        if (same || current.isEmpty() || !demand.isSteady()) {
            return List.of();
        }
        samplesPlanned = demand.samples();
        MapPlanner.Plan plan = planner.plan(current.get(), demand.shares());
        return RebalanceRule.repays(plan, shape) ? start(plan, nowNanos) : List.of();
    }

    /**
     * Starts a change to a planned map; only if {@link #canStart}.
     *
     * @param plan the plan, not null
     * @param nowNanos the present time
     * @return the first orders
     */
    List<AddressedCommand> start(MapPlanner.Plan plan, long nowNanos) {
        changes++;
        shiftsPlanned = demand.shifts();
        long version = (token << VERSION_BITS) + changes;
        long deadlineNanos = nowNanos + PREPARE_TIMEOUT_NANOS;
        MapCommit started =
                new MapCommit(
                        version, plan.map(), epoch, ownRank, lastReleasedStep + 1, deadlineNanos);
        statuses.values().forEach(started::onStatus);
        commit = Optional.of(started);
        listener.onCommitStarted(started, plan);
        return started.next(nowNanos);
    }

    private Optional<ExpertMap> mapInUse() {
        RankStatus own = statuses.get(ownRank);
        if (own == null) {
            return Optional.empty();
        }
        ExpertMap known = maps.get(own.mapVersion());
        if (known == null && experts.size() == own.size()) {
            List<List<List<Integer>>> byRank = new ArrayList<>();
            for (int rank = 0; rank < own.size(); rank++) {
                byRank.add(experts.get(rank));
            }
            known = ExpertMap.ofRanks(byRank);
            maps.put(own.mapVersion(), known);
        }
        return Optional.ofNullable(known);
    }

    /**
     * Tells whether the ranks should be asked for the experts that they hold.
     *
     * @return true while the group is at rest and the map in use is not known
     */
    public boolean needsExperts() {
        return settled && commit.isEmpty() && mapInUse().isEmpty();
    }

    /**
     * Tells whether ranks should be asked often, and past agents that do not answer.
     *
     * @return true while a change is under way or an earlier leader's remains are
     */
    public boolean isBusy() {
        return !settled || commit.isPresent();
    }

    /**
     * Tells whether a step may be held because of this leader.
     *
     * @return true while a change has gone past the fetching of experts
     */
    public boolean mayHold() {
        return commit.isPresent() && commit.get().phase() != MapCommit.Phase.PREPARING;
    }

    /**
     * Tells whether nothing of earlier leaders is left in this epoch.
     *
     * @return true once settled
     */
    public boolean isRecovered() {
        return settled;
    }

    /**
     * Returns the epoch of the group.
     *
     * @return the epoch; -1 before any state was read
     */
    public long epoch() {
        return epoch;
    }
}
