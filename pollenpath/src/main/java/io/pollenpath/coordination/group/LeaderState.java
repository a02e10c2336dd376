package io.pollenpath.coordination.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.group.VersionedMap;
import io.pollenpath.state.serving.GroupShape;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * Decisions of the leader of one group under one fencing token. In each epoch it first finishes or
 * undoes the map change that an earlier leader left unfinished, and does so again whenever a rank
 * holds a step by a command that was carried out late. Then it follows the demand for the experts
 * and changes the map when the better balance outweighs the fetches.
 */
public final class LeaderState {

    private static final long PREPARE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final int ownRank;
    private final GroupShape shape;
    private final MapPlanner planner;
    private final ExpertDemandEstimator demand;
    private final LeaderListener listener;
    private final StepPace pace = new StepPace();
    private final StepForecast forecast = new StepForecast();
    private final OwnChanges ownChanges;
    private final RankStatuses statuses;
    private final ChangeDecisions decisions = new ChangeDecisions();
    private final KnownMaps maps = new KnownMaps();
    private Optional<MapRecovery> recovery = Optional.empty();
    private Optional<MapCommit> commit = Optional.empty();
    private boolean recovered;

    /** The end of the last change or recovery; statuses read after it show late commands. */
    private long settledNanos;

    private long epoch = -1;
    private long samplesAtLastPlan;

    /**
     * Creates the state of a leader that has received no status yet.
     *
     * @param token the fencing token
     * @param ownRank the rank on the VM of the leader
     * @param shape the shape of the group, not null
     * @param listener receives the decisions, not null
     */
    public LeaderState(long token, int ownRank, GroupShape shape, LeaderListener listener) {
        this.ownRank = ownRank;
        this.shape = Objects.requireNonNull(shape, "shape");
        this.listener = Objects.requireNonNull(listener, "listener");
        statuses = new RankStatuses(ownRank);
        planner = new MapPlanner(shape);
        ownChanges = new OwnChanges(token, shape.fetchMs());
        demand = new ExpertDemandEstimator(shape.layers(), shape.experts());
    }

    /**
     * Handles the status of a rank.
     *
     * @param status the status, not null
     * @param readNanos the earliest time at which the engine may have had this status
     */
    public void onStatus(RankStatus status, long readNanos) {
        if (status.epoch() < epoch) {
            return;
        }
        if (status.epoch() > epoch) {
            enterEpoch(status.epoch());
        }
        statuses.put(status);
        forecast.onStep(status.step(), readNanos);
        if (status.rank() == ownRank) {
            pace.onStep(status.step(), readNanos);
        }
        recovery.ifPresent(current -> current.onStatus(status, readNanos));
        commit.ifPresent(current -> current.onStatus(status));
        if (isHeldByLateCommand(status, readNanos)) {
            listener.onLateHold(status);
            recovered = false;
        }
    }

    /**
     * Returns whether a rank holds a step though nothing is in progress. An idle group has not
     * begun the step of the last change, so the rank accepts a late copy of the command to hold it.
     */
    private boolean isHeldByLateCommand(RankStatus status, long readNanos) {
        boolean settled = recovered && commit.isEmpty() && readNanos - settledNanos >= 0;
        return settled && status.held().isPresent();
    }

    private void enterEpoch(long newEpoch) {
        if (epoch >= 0) {
            listener.onEpochChanged(newEpoch, epoch);
        }
        epoch = newEpoch;
        recovered = false;
        recovery = Optional.empty();
        commit = Optional.empty();
        decisions.clear();
        statuses.clear();
        forecast.clear();
        maps.clear();
    }

    /**
     * Adds how often the requests of one rank selected each expert.
     *
     * @param counts the selections since the previous report of the rank, not null
     */
    public void onCounts(long[] counts) {
        demand.addCounts(counts);
    }

    /**
     * Updates the estimate of the demand from the counts added since the last update.
     *
     * @param nowNanos the current time
     */
    public void updateDemand(long nowNanos) {
        demand.update(nowNanos);
    }

    /**
     * Records the experts that a rank hosts under the active map.
     *
     * @param rank the rank
     * @param hosted the experts, one list for each set of layers, not null
     */
    public void onExperts(int rank, List<List<Integer>> hosted) {
        maps.onExperts(rank, hosted);
    }

    /**
     * Handles the result of a command.
     *
     * @param sent the command, not null
     * @param result its result, not null
     * @param nowNanos the current time
     */
    public void onOutcome(AddressedCommand sent, CommandResult result, long nowNanos) {
        EngineCommand command = sent.command();
        recovery.ifPresent(current -> current.onOutcome(sent.rank(), command, result, nowNanos));
        commit.ifPresent(current -> current.onOutcome(sent.rank(), command, result, nowNanos));
        if (command instanceof EngineCommand.Hold hold && result != CommandResult.ACCEPTED) {
            commit.ifPresent(current -> listener.onHoldFailed(current, hold.step(), result));
        }
    }

    /**
     * Moves the recovery or the current change forward, or starts a change.
     *
     * @param nowNanos the current time
     * @return the commands to send now, at most one for each rank; the caller skips ranks whose
     *     previous command is still in progress
     */
    public List<AddressedCommand> nextCommands(long nowNanos) {
        List<AddressedCommand> commands = decide(nowNanos);
        commands.forEach(sent -> decisions.onSent(sent.command()));
        return commands;
    }

    private List<AddressedCommand> decide(long nowNanos) {
        if (!statuses.allOpen()) {
            return recoverWithoutMissingRank();
        }
        if (commit.isPresent()) {
            return advance(commit.get(), nowNanos);
        }
        if (!recovered) {
            return recover(nowNanos);
        }
        return canStartChange() ? plan(nowNanos) : List.of();
    }

    /** Returns whether a change may start: recovery is complete and no change is in progress. */
    boolean canStartChange() {
        return statuses.allOpen() && recovered && commit.isEmpty() && statuses.allQuiet();
    }

    /**
     * Returns whether all ranks are known to use the active map and nothing is in progress, so that
     * a few of them show whether that changes.
     *
     * @return false during a recovery or a change, and until every rank has reported its end
     */
    public boolean isSettled() {
        return canStartChange() && !needsExperts();
    }

    private List<AddressedCommand> recover(long nowNanos) {
        if (recovery.isEmpty() || recovery.get().missingRank().isPresent()) {
            recovery = Optional.of(newRecovery(statuses.size(), OptionalInt.empty()));
        }
        MapRecovery current = recovery.get();
        if (current.isComplete()) {
            recovered = true;
            settledNanos = nowNanos;
            recovery = Optional.empty();
            maps.clearReported();
            listener.onRecovered(epoch);
            return List.of();
        }
        commit = current.unfinishedCommit();
        if (commit.isPresent()) {
            decisions.finish(commit.get().version());
            listener.onCommitTakenOver(commit.get());
            return commit.get().next(stepToHold(nowNanos), nowNanos);
        }
        return recoveryCommands(current);
    }

    private List<AddressedCommand> recoveryCommands(MapRecovery current) {
        List<AddressedCommand> commands = current.commands();
        if (current.hasAllStatuses()) {
            current.discardStatuses();
        }
        return commands;
    }

    /**
     * Undoes the change of an earlier leader whose rank has not been heard of, so that the group
     * does not wait for it.
     */
    private List<AddressedCommand> recoverWithoutMissingRank() {
        OptionalInt missing = statuses.missingRank();
        if (recovered || commit.isPresent() || missing.isEmpty()) {
            return List.of();
        }
        if (recovery.isEmpty() || !recovery.get().missingRank().equals(missing)) {
            int ranks = statuses.size() + 1;
            recovery = Optional.of(newRecovery(ranks, missing));
        }
        return recoveryCommands(recovery.get());
    }

    private MapRecovery newRecovery(int ranks, OptionalInt missing) {
        int holdRank = MapCommit.holdRank(ownRank, ranks);
        return new MapRecovery(ranks, holdRank, ownChanges.firstVersion(), decisions, missing);
    }

    private List<AddressedCommand> advance(MapCommit current, long nowNanos) {
        MapCommit.Phase before = current.phase();
        boolean outdated = ownChanges.isOutdated(demand.shifts());
        if (before == MapCommit.Phase.PREPARING && outdated) {
            endCommit(current, true, nowNanos);
            return List.of();
        }
        List<AddressedCommand> late = releasesOfLateHolds(current);
        if (!late.isEmpty()) {
            return late;
        }
        List<AddressedCommand> commands = current.next(stepToHold(nowNanos), nowNanos);
        if (current.hasEnded()) {
            endCommit(current, false, nowNanos);
        } else if (current.phase() != before) {
            listener.onCommitPhase(current);
        }
        return commands;
    }

    /**
     * Returns the commands that release steps of earlier changes, which late commands hold, while
     * no rank is armed for the present one. A rank holds one step at a time.
     */
    private List<AddressedCommand> releasesOfLateHolds(MapCommit current) {
        boolean noneArmed = current.phase().compareTo(MapCommit.Phase.HOLDING) <= 0;
        return noneArmed ? statuses.releasesUpTo(decisions.lastReleasedStep()) : List.of();
    }

    private long stepToHold(long nowNanos) {
        return forecast.stepToHold(pace.stepMs(), nowNanos);
    }

    private void endCommit(MapCommit ended, boolean superseded, long nowNanos) {
        listener.onCommitEnded(ended, superseded);
        if (ended.phase() == MapCommit.Phase.DONE) {
            ended.map().ifPresent(map -> onOwnChangeDone(ended.version(), map, nowNanos));
        }
        commit = Optional.empty();
        settledNanos = nowNanos;
        recovery.ifPresent(MapRecovery::discardStatuses);
    }

    private void onOwnChangeDone(long version, ExpertMap map, long nowNanos) {
        maps.record(version, map, statuses.own().mapVersion());
        ownChanges.onDone(nowNanos);
    }

    private List<AddressedCommand> plan(long nowNanos) {
        Optional<VersionedMap> current = activeMap();
        boolean noNewSample = demand.samples() == samplesAtLastPlan;
        if (noNewSample || current.isEmpty() || !demand.isKnown()) {
            return List.of();
        }
        samplesAtLastPlan = demand.samples();
        MapPlanner.Plan plan =
                planner.plan(
                        current.get().map(),
                        demand.shares(),
                        statuses.slowdowns(),
                        ownChanges.cost());
        return RebalanceRule.isWorthwhile(plan, shape) ? startChange(plan, nowNanos) : List.of();
    }

    /**
     * Starts a change to a planned map; {@link #canStartChange} must be true.
     *
     * @param plan the plan, not null
     * @param nowNanos the current time
     * @return the first commands to send
     */
    List<AddressedCommand> startChange(MapPlanner.Plan plan, long nowNanos) {
        long version = ownChanges.start(plan, demand.shifts(), nowNanos);
        long deadlineNanos = nowNanos + PREPARE_TIMEOUT_NANOS;
        MapCommit started =
                new MapCommit(
                        version,
                        plan.map(),
                        epoch,
                        MapCommit.holdRank(ownRank, statuses.size()),
                        decisions.lastReleasedStep() + 1,
                        deadlineNanos);
        statuses.stream().forEach(started::onStatus);
        commit = Optional.of(started);
        decisions.finish(version);
        listener.onCommitStarted(started, plan);
        return started.next(stepToHold(nowNanos), nowNanos);
    }

    /**
     * Returns the map that the group uses.
     *
     * @return the map; empty while it is not known
     */
    public Optional<VersionedMap> activeMap() {
        RankStatus own = statuses.own();
        return own == null ? Optional.empty() : maps.active(own);
    }

    /**
     * Returns whether the ranks should be asked for the experts that they host.
     *
     * @return true while no change is in progress and the active map is unknown
     */
    public boolean needsExperts() {
        return recovered && commit.isEmpty() && activeMap().isEmpty();
    }

    /**
     * Returns whether a recovery or a change is in progress. Engines are then polled directly as
     * well, in case their agents do not answer.
     *
     * @return true during a recovery or a change
     */
    public boolean isBusy() {
        return !recovered || commit.isPresent();
    }

    /**
     * Returns whether a command of this leader may have held a step.
     *
     * @return true while a change is past the fetching of experts, or one is being undone
     */
    public boolean mayHold() {
        boolean undoes = !recovered && decisions.undoesAny();
        boolean changes = commit.isPresent() && commit.get().phase() != MapCommit.Phase.PREPARING;
        return undoes || changes;
    }

    /**
     * Returns whether no unfinished change of an earlier leader is left in this epoch.
     *
     * @return true once recovery is complete
     */
    public boolean isRecovered() {
        return recovered;
    }

    /**
     * Returns the epoch of the group.
     *
     * @return the epoch; -1 before the first status
     */
    public long epoch() {
        return epoch;
    }
}
