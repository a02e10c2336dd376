package io.pollenpath.coordination.group;

import io.pollenpath.state.group.ArmedMap;
import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Recovery of a group by a new leader: finishes or undoes the map change that an earlier leader
 * left unfinished.
 *
 * <p>First, every rank accepts a command with the new fencing token, so that it refuses late
 * commands of earlier leaders. Only statuses read after that count. A change for which some rank is
 * armed is finished if every rank has fetched its map and a step is held; otherwise the armed ranks
 * are disarmed. Held steps that belong to no change are released last.
 */
public final class MapRecovery {

    private final long fenceVersion;
    private final RankStatus[] statuses;
    private final boolean[] fenced;
    private long allFencedNanos;
    private boolean allFenced;

    /**
     * Creates a recovery that has fenced no rank yet.
     *
     * @param ranks the number of ranks
     * @param fenceVersion the version in the commands that only fence; no map ever has it
     */
    public MapRecovery(int ranks, long fenceVersion) {
        this.fenceVersion = fenceVersion;
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
        for (boolean rankFenced : fenced) {
            if (!rankFenced) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the status of every rank was read after all ranks were fenced, in one epoch.
     *
     * @return true if {@link #commands} and {@link #unfinishedCommit} can decide from these
     *     statuses
     */
    public boolean hasAllStatuses() {
        for (RankStatus status : statuses) {
            boolean unusable = status == null || status.epoch() != statuses[0].epoch();
            if (unusable || !status.open()) {
                return false;
            }
        }
        return true;
    }

    /** Discards all statuses, so that they must be read again. */
    public void discardStatuses() {
        Arrays.fill(statuses, null);
    }

    /**
     * Returns whether the recovery is complete.
     *
     * @return true if all statuses are read and no rank is armed or holds a step
     */
    public boolean isComplete() {
        return hasAllStatuses()
                && Arrays.stream(statuses)
                        .allMatch(status -> status.armed().isEmpty() && status.held().isEmpty());
    }

    /**
     * Returns a commit that finishes the change of an earlier leader, if that is possible.
     *
     * @return a commit in the phase of arming; empty if there is no such change
     */
    public Optional<MapCommit> unfinishedCommit() {
        Optional<ArmedMap> armed = firstArmed();
        OptionalLong holdRank = holdRank();
        if (!hasAllStatuses() || armed.isEmpty() || holdRank.isEmpty()) {
            return Optional.empty();
        }
        long version = armed.get().version();
        for (RankStatus status : statuses) {
            boolean ready = status.hasPrepared(version) || status.armed().equals(armed);
            if (!ready) {
                return Optional.empty();
            }
        }
        MapCommit commit =
                MapCommit.resume(
                        version,
                        statuses.length,
                        statuses[0].epoch(),
                        (int) holdRank.getAsLong(),
                        armed.get().step());
        Arrays.stream(statuses).forEach(commit::onStatus);
        return Optional.of(commit);
    }

    private Optional<ArmedMap> firstArmed() {
        for (RankStatus status : statuses) {
            if (status != null && status.armed().isPresent()) {
                return status.armed();
            }
        }
        return Optional.empty();
    }

    private OptionalLong holdRank() {
        for (RankStatus status : statuses) {
            if (status != null && status.held().isPresent()) {
                return OptionalLong.of(status.rank());
            }
        }
        return OptionalLong.empty();
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
                if (!fenced[rank]) {
                    commands.add(
                            new AddressedCommand(rank, new EngineCommand.Disarm(fenceVersion)));
                }
            }
            return commands;
        }
        if (!hasAllStatuses()) {
            return commands;
        }
        for (RankStatus status : statuses) {
            status.armed()
                    .ifPresent(
                            armed ->
                                    commands.add(
                                            new AddressedCommand(
                                                    status.rank(),
                                                    new EngineCommand.Disarm(armed.version()))));
        }
        if (commands.isEmpty()) {
            addReleases(commands);
        }
        return commands;
    }

    private void addReleases(List<AddressedCommand> commands) {
        for (RankStatus status : statuses) {
            status.held()
                    .ifPresent(
                            step ->
                                    commands.add(
                                            new AddressedCommand(
                                                    status.rank(),
                                                    new EngineCommand.Release(step))));
        }
    }
}
