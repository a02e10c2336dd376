package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Recovery of a group by its leader: finishes or undoes the map change that an earlier leader left
 * unfinished, and releases steps that late commands hold.
 *
 * <p>First, every rank accepts a command with the fencing token of the leader, so that it refuses
 * late commands of earlier leaders. Only statuses read after that count. A change for which some
 * rank is armed is finished if every rank has fetched its map and its step is held. Otherwise it is
 * undone, but only while its step is held, since an idle group may begin the step at any time: if
 * no rank holds the step, one is told to before the first rank is disarmed. Held steps that belong
 * to no unfinished change are released last.
 *
 * <p>A change that this leader has finished is complete once all ranks are armed for it: they all
 * switch when the group begins the step, however long it is idle.
 *
 * <p>The rank on the VM of the earlier leader may be unreachable together with that leader. The
 * change is then undone without it, if another rank is not armed, since {@linkplain
 * MapCommit#lastRank that rank} is armed last and, if a change is undone, disarmed first.
 */
public final class MapRecovery {

    private final int holdRank;
    private final long fenceVersion;
    private final ChangeDecisions decisions;
    private final OptionalInt missingRank;
    private final RankStatus[] statuses;
    private final boolean[] fenced;
    private long allFencedNanos;
    private boolean allFenced;

    /**
     * Creates a recovery that has fenced no rank yet.
     *
     * @param ranks the number of ranks
     * @param holdRank the rank at which the leader holds steps
     * @param fenceVersion the version in the commands that only fence; no map ever has it
     * @param decisions the changes that the leader has finished or undone in this epoch, not null
     * @param missingRank the rank that is unreachable, not null; empty if there is none
     */
    MapRecovery(
            int ranks,
            int holdRank,
            long fenceVersion,
            ChangeDecisions decisions,
            OptionalInt missingRank) {
        this.holdRank = holdRank;
        this.fenceVersion = fenceVersion;
        this.decisions = Objects.requireNonNull(decisions, "decisions");
        this.missingRank = missingRank;
        statuses = new RankStatus[ranks];
        fenced = new boolean[ranks];
    }

    /**
     * Handles the status of a rank.
     *
     * @param status the status, not null
     * @param readNanos the earliest time at which the engine may have had this status
     */
    public void onStatus(RankStatus status, long readNanos) {
        if (allFenced && readNanos - allFencedNanos >= 0) {
            statuses[status.rank()] = status;
        }
    }

    /**
     * Handles the result of a command.
     *
     * @param rank the rank
     * @param command the command, not null
     * @param result its result, not null
     * @param nowNanos the current time
     */
    public void onOutcome(int rank, EngineCommand command, CommandResult result, long nowNanos) {
        if (result != CommandResult.ACCEPTED || !(command instanceof EngineCommand.Disarm)) {
            return;
        }
        fenced[rank] = true;
        if (!allFenced && allRanksFenced()) {
            allFenced = true;
            allFencedNanos = nowNanos;
        }
    }

    private boolean allRanksFenced() {
        for (int rank = 0; rank < fenced.length; rank++) {
            if (!fenced[rank] && !isMissing(rank)) {
                return false;
            }
        }
        return true;
    }

    private boolean isMissing(int rank) {
        return missingRank.isPresent() && missingRank.getAsInt() == rank;
    }

    /**
     * Returns the rank that this recovery does without.
     *
     * @return the rank; empty if there is none
     */
    OptionalInt missingRank() {
        return missingRank;
    }

    /**
     * Returns whether the status of every rank was read after all ranks were fenced, in one epoch.
     *
     * @return true if {@link #commands} and {@link #unfinishedCommit} can decide from these
     *     statuses
     */
    public boolean hasAllStatuses() {
        long epoch = reachable().findFirst().map(RankStatus::epoch).orElse(-1L);
        for (int rank = 0; rank < statuses.length; rank++) {
            RankStatus status = statuses[rank];
            boolean usable = status != null && status.epoch() == epoch && status.open();
            if (!usable && !isMissing(rank)) {
                return false;
            }
        }
        return true;
    }

    private Stream<RankStatus> reachable() {
        return Arrays.stream(statuses).filter(Objects::nonNull);
    }

    /**
     * Returns whether the missing rank is known not to be armed: it is the one that is armed last
     * for the held step, the reachable ranks have fetched one map, and one is not armed for it.
     * They refuse earlier leaders since they were fenced, so the missing rank will not be armed
     * later either.
     */
    private boolean isMissingRankNotArmed() {
        Optional<Long> version = reachable().findFirst().flatMap(MapRecovery::changeVersion);
        return version.isPresent()
                && reachable().anyMatch(status -> status.held().isPresent())
                && reachable().allMatch(this::isLastForStepHeldBy)
                && reachable().allMatch(status -> changeVersion(status).equals(version))
                && reachable().anyMatch(status -> status.armed().isEmpty());
    }

    /** Returns whether a rank holds no step, or one for which the missing rank is armed last. */
    private boolean isLastForStepHeldBy(RankStatus status) {
        return status.held().isEmpty()
                || isMissing(MapCommit.lastRank(status.rank(), statuses.length));
    }

    /** Returns the version of the map that a rank is armed for, or else has fetched. */
    private static Optional<Long> changeVersion(RankStatus status) {
        return status.armed()
                .map(ArmedMap::version)
                .or(() -> status.prepared().stream().boxed().findFirst());
    }

    /** Discards all statuses, so that they must be read again. */
    public void discardStatuses() {
        Arrays.fill(statuses, null);
    }

    /**
     * Returns whether the recovery is complete.
     *
     * @return true if all statuses are read, no rank holds a step, and no rank is armed or all are
     *     for a change that this leader has finished
     */
    public boolean isComplete() {
        return missingRank.isEmpty()
                && hasAllStatuses()
                && reachable().allMatch(status -> status.held().isEmpty())
                && (noneArmed() || isFinished());
    }

    private boolean noneArmed() {
        return reachable().allMatch(status -> status.armed().isEmpty());
    }

    /** Returns whether all ranks are armed for one change that this leader has finished. */
    private boolean isFinished() {
        Optional<ArmedMap> armed = firstArmed();
        return armed.isPresent()
                && decisions.isFinished(armed.get().version())
                && reachable().allMatch(status -> status.armed().equals(armed));
    }

    /**
     * Returns a commit that finishes the change of an earlier leader, if that is possible.
     *
     * @return a commit in the phase of arming; empty if there is no such change
     */
    public Optional<MapCommit> unfinishedCommit() {
        Optional<ArmedMap> armed = firstArmed();
        if (missingRank.isPresent() || !hasAllStatuses() || armed.isEmpty()) {
            return Optional.empty();
        }
        long version = armed.get().version();
        OptionalInt holder = rankHolding(armed.get().step());
        boolean ready =
                reachable()
                        .allMatch(
                                status ->
                                        status.hasPrepared(version)
                                                || status.armed().equals(armed));
        if (holder.isEmpty() || !ready || decisions.isUndone(version)) {
            return Optional.empty();
        }
        MapCommit commit =
                MapCommit.resume(
                        version,
                        statuses.length,
                        statuses[0].epoch(),
                        holder.getAsInt(),
                        armed.get().step());
        Arrays.stream(statuses).forEach(commit::onStatus);
        return Optional.of(commit);
    }

    /** Returns the armed map with the lowest step; empty if no rank is armed. */
    private Optional<ArmedMap> firstArmed() {
        return reachable()
                .flatMap(status -> status.armed().stream())
                .min(Comparator.comparingLong(ArmedMap::step));
    }

    private OptionalInt rankHolding(long step) {
        return reachable()
                .filter(status -> status.holds(step))
                .mapToInt(RankStatus::rank)
                .findFirst();
    }

    /**
     * Returns the commands to send now.
     *
     * @return the commands; none while statuses must be read first
     */
    public List<AddressedCommand> commands() {
        List<AddressedCommand> commands = new ArrayList<>();
        if (!allFenced) {
            for (int rank = 0; rank < fenced.length; rank++) {
                if (!fenced[rank] && !isMissing(rank)) {
                    commands.add(
                            new AddressedCommand(rank, new EngineCommand.Disarm(fenceVersion)));
                }
            }
            return commands;
        }
        if (!hasAllStatuses() || (missingRank.isPresent() && !isMissingRankNotArmed())) {
            return commands;
        }
        if (noneArmed() || isFinished()) {
            reachable().forEach(status -> addRelease(commands, status));
        } else {
            addUndo(commands, firstArmed().orElseThrow());
        }
        return commands;
    }

    /**
     * Adds the next commands that undo a change: its step is held, then the last rank is disarmed,
     * then the others. So while a rank is known not to be armed, the last one is not armed either.
     */
    private void addUndo(List<AddressedCommand> commands, ArmedMap armed) {
        if (reachable().anyMatch(status -> status.step() >= armed.step())) {
            // The step began while the statuses were read. They must be read again.
            return;
        }
        OptionalInt holder = rankHolding(armed.step());
        if (!decisions.isFinished(armed.version())) {
            decisions.undo(armed.version());
        }
        if (holder.isEmpty()) {
            int rank = rankToHoldAt();
            commands.add(new AddressedCommand(rank, new EngineCommand.Hold(armed.step())));
            return;
        }
        RankStatus last = statuses[MapCommit.lastRank(holder.getAsInt(), statuses.length)];
        if (last != null && last.armed().isPresent()) {
            addDisarm(commands, last);
        } else {
            reachable().forEach(status -> addDisarm(commands, status));
        }
    }

    /** Returns a rank that holds no step, if possible one for which the last rank is not armed. */
    private int rankToHoldAt() {
        return IntStream.concat(afterUnarmedRanks(), allRanksFrom(holdRank))
                .filter(rank -> statuses[rank] == null || statuses[rank].held().isEmpty())
                .findFirst()
                .orElse(holdRank);
    }

    private IntStream afterUnarmedRanks() {
        return reachable()
                .filter(status -> status.armed().isEmpty())
                .mapToInt(status -> MapCommit.holdRank(status.rank(), statuses.length));
    }

    private IntStream allRanksFrom(int first) {
        return IntStream.range(first, first + statuses.length).map(rank -> rank % statuses.length);
    }

    private static void addDisarm(List<AddressedCommand> commands, RankStatus status) {
        status.armed()
                .map(armed -> new EngineCommand.Disarm(armed.version()))
                .map(disarm -> new AddressedCommand(status.rank(), disarm))
                .ifPresent(commands::add);
    }

    private static void addRelease(List<AddressedCommand> commands, RankStatus status) {
        status.held()
                .ifPresent(
                        step ->
                                commands.add(
                                        new AddressedCommand(
                                                status.rank(), new EngineCommand.Release(step))));
    }
}
