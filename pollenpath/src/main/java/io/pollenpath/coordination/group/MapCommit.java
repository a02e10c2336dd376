package io.pollenpath.coordination.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.ExpertMap;
import io.pollenpath.state.group.RankStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Two-phase commit of one expert map, from the plan to the first step that uses the map on every
 * rank.
 *
 * <p>First, all ranks prepare the map by fetching its experts. Then a future step is held at one
 * rank. The ranks are armed for this step only after a status has confirmed the hold, and the step
 * is released only after every rank is armed. The rank that holds is armed after most others, and
 * the one before it {@linkplain #lastRank last}: while another rank is not armed, the last one is
 * not armed either, also if nobody can ask it. From the first arm command on, the commit cannot be
 * undone: commands are resent until they are known to have taken effect. A late duplicate of a
 * command is refused once the group has begun the step, and asks for the state that the rank is
 * already in before that; only a late hold undoes the release, so the leader watches for it after
 * the end of the commit. A new epoch of the group clears this state on all ranks and ends the
 * commit.
 *
 * <p>The caller sends the commands that {@link #next} returns, and reports each result and status.
 */
public final class MapCommit {

    /** Time after which a prepare command is resent to a rank that has accepted it. */
    private static final long PREPARE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The phases of a commit. */
    public enum Phase {
        /** Ranks fetch the experts that are new to them. */
        PREPARING,
        /** A step is being held. */
        HOLDING,
        /** The step is held, and the ranks are being armed. */
        ARMING,
        /** All ranks are armed, and the step is being released. */
        RELEASING,
        /** The step is released, and all ranks switch to the map at this step. */
        DONE,
        /** Ended without effect: no rank uses the map or will switch to it. */
        ABANDONED
    }

    private final long version;
    private final Optional<ExpertMap> map;
    private final long epoch;
    private final int holdRank;
    private final long prepareDeadlineNanos;
    private final RankStatus[] statuses;
    private final Set<Integer> prepared = new HashSet<>();
    private final Set<Integer> armed = new HashSet<>();
    private final Map<Integer, Long> prepareAcceptedNanos = new HashMap<>();
    private Phase phase;
    private long firstStep;

    /** The step after the newest one that a rank has refused to hold, since it had begun. */
    private long firstOpenStep;

    private long step = -1;
    private boolean holdAccepted;
    private boolean holdConfirmed;

    /**
     * Creates a commit in the phase of preparing.
     *
     * @param version the version of the map, higher than any that a rank has had
     * @param map the map, not null
     * @param epoch the epoch of the group in which the commit is valid
     * @param holdRank the rank at which the step is held
     * @param firstStep the first step that may be held; a late command of this leader may still
     *     release an earlier one
     * @param prepareDeadlineNanos the time at which the commit is abandoned unless all ranks have
     *     fetched the map
     */
    public MapCommit(
            long version,
            ExpertMap map,
            long epoch,
            int holdRank,
            long firstStep,
            long prepareDeadlineNanos) {
        this(version, Optional.of(map), map.ranks(), epoch, holdRank, prepareDeadlineNanos);
        this.firstStep = firstStep;
    }

    private MapCommit(
            long version,
            Optional<ExpertMap> map,
            int ranks,
            long epoch,
            int holdRank,
            long prepareDeadlineNanos) {
        this.version = version;
        this.map = map;
        this.epoch = epoch;
        this.holdRank = holdRank;
        this.prepareDeadlineNanos = prepareDeadlineNanos;
        statuses = new RankStatus[ranks];
        phase = Phase.PREPARING;
    }

    /**
     * Creates a commit that continues the change of an earlier leader: every rank has fetched the
     * map or is armed for it, and a step is held.
     *
     * @param version the version of the map
     * @param ranks the number of ranks
     * @param epoch the epoch of the group
     * @param holdRank the rank at which the step is held
     * @param step the step for which ranks are armed
     * @return the commit, in the phase of arming
     */
    public static MapCommit resume(long version, int ranks, long epoch, int holdRank, long step) {
        MapCommit commit =
                new MapCommit(version, Optional.empty(), ranks, epoch, holdRank, Long.MAX_VALUE);
        commit.step = step;
        commit.holdConfirmed = true;
        commit.phase = Phase.ARMING;
        return commit;
    }

    /**
     * Handles the status of a rank.
     *
     * @param status the status, not null
     */
    public void onStatus(RankStatus status) {
        if (status.epoch() > epoch || (status.epoch() == epoch && !status.open())) {
            if (phase != Phase.DONE) {
                phase = Phase.ABANDONED;
            }
            return;
        }
        if (status.epoch() < epoch) {
            return;
        }
        statuses[status.rank()] = status;
        if (status.hasPrepared(version)) {
            prepared.add(status.rank());
        }
        boolean isArmed =
                status.armed().isPresent()
                        && status.armed().get().version() == version
                        && status.armed().get().step() == step;
        if (isArmed || status.mapVersion() == version) {
            armed.add(status.rank());
        }
        if (status.rank() == holdRank && step >= 0 && status.holds(step)) {
            holdConfirmed = true;
        }
    }

    /**
     * Handles the result of a command. An accepted arm command counts only once the status of the
     * rank shows it: the answer may be a late copy of that to an earlier command.
     *
     * @param rank the rank
     * @param command the command, not null
     * @param result its result, not null
     * @param nowNanos the current time
     */
    public void onOutcome(int rank, EngineCommand command, CommandResult result, long nowNanos) {
        boolean choosesStep = phase == Phase.HOLDING && !holdConfirmed;
        if (command instanceof EngineCommand.Hold hold && choosesStep) {
            onHoldOutcome(hold.step(), result);
        }
        if (result != CommandResult.ACCEPTED) {
            return;
        }
        if (command instanceof EngineCommand.Prepare) {
            prepareAcceptedNanos.put(rank, nowNanos);
        }
        if (command instanceof EngineCommand.Release release && release.step() == step) {
            phase = phase == Phase.RELEASING ? Phase.DONE : phase;
        }
    }

    /** Keeps the step that is held, and chooses a later one than a step that was refused. */
    private void onHoldOutcome(long heldStep, CommandResult result) {
        if (result == CommandResult.ACCEPTED) {
            holdAccepted = true;
            step = heldStep;
        } else if (result == CommandResult.REJECTED) {
            firstOpenStep = Math.max(firstOpenStep, heldStep + 1);
        }
    }

    /**
     * Moves to the next phase if the reported statuses and results allow it.
     *
     * @param stepToHold the step to hold, unless a hold is accepted already
     * @param nowNanos the current time
     * @return the commands to send now, at most one for each rank; the caller skips ranks whose
     *     previous command is still in progress
     */
    public List<AddressedCommand> next(long stepToHold, long nowNanos) {
        if (phase == Phase.PREPARING) {
            advancePreparing(nowNanos);
        }
        if (phase == Phase.HOLDING) {
            advanceHolding(stepToHold);
        }
        if (phase == Phase.ARMING && armed.size() == statuses.length) {
            phase = Phase.RELEASING;
        }
        if (phase == Phase.RELEASING && isHoldReleased()) {
            phase = Phase.DONE;
        }
        return commands(nowNanos);
    }

    private void advancePreparing(long nowNanos) {
        if (prepared.size() == statuses.length && statuses[holdRank] != null) {
            phase = Phase.HOLDING;
        } else if (nowNanos - prepareDeadlineNanos > 0) {
            phase = Phase.ABANDONED;
        }
    }

    private void advanceHolding(long stepToHold) {
        if (holdConfirmed) {
            phase = Phase.ARMING;
            return;
        }
        // No rank is armed yet, so another step may be chosen. A step already held is reused.
        OptionalLong held = statuses[holdRank].held();
        if (held.isPresent() && held.getAsLong() >= firstStep) {
            step = held.getAsLong();
            holdConfirmed = true;
            phase = Phase.ARMING;
        } else if (!holdAccepted || newestStep() >= step) {
            holdAccepted = false;
            step = Math.max(Math.max(step, stepToHold), Math.max(firstStep, firstOpenStep));
        }
    }

    /**
     * Returns the newest step that a rank is known to have begun.
     *
     * @return the step; 0 before the first status
     */
    public long newestStep() {
        long newest = 0;
        for (RankStatus status : statuses) {
            newest = status == null ? newest : Math.max(newest, status.step());
        }
        return newest;
    }

    private boolean isHoldReleased() {
        RankStatus status = statuses[holdRank];
        return status != null && (status.step() >= step || status.mapVersion() == version);
    }

    private List<AddressedCommand> commands(long nowNanos) {
        List<AddressedCommand> commands = new ArrayList<>();
        switch (phase) {
            case PREPARING -> addPrepares(commands, nowNanos);
            case HOLDING ->
                    commands.add(new AddressedCommand(holdRank, new EngineCommand.Hold(step)));
            case ARMING -> addArms(commands);
            case RELEASING ->
                    commands.add(new AddressedCommand(holdRank, new EngineCommand.Release(step)));
            case DONE, ABANDONED -> {
                // A commit that has ended needs no commands.
            }
        }
        return commands;
    }

    /**
     * Returns the rank that is armed last. A leader holds steps so that this is the rank on its own
     * VM, which may become unreachable together with the leader.
     *
     * @param holdRank the rank at which the step is held
     * @param ranks the number of ranks
     * @return the rank before the one that holds, by a cycle of all ranks
     */
    static int lastRank(int holdRank, int ranks) {
        return (holdRank + ranks - 1) % ranks;
    }

    /**
     * Returns the rank at which a leader holds steps.
     *
     * @param leaderRank the rank on the VM of the leader
     * @param ranks the number of ranks
     * @return the rank after it, by a cycle of all ranks
     */
    static int holdRank(int leaderRank, int ranks) {
        return (leaderRank + 1) % ranks;
    }

    /**
     * Adds the arm commands of the present stage: those of most ranks, then that of the rank that
     * holds the step, then that of the last rank. A leader that is lost before it has heard that
     * most ranks are armed thus leaves one that is known not to be.
     */
    private void addArms(List<AddressedCommand> commands) {
        EngineCommand arm = new EngineCommand.Arm(version, step);
        int lastRank = lastRank(holdRank, statuses.length);
        for (int rank = 0; rank < statuses.length; rank++) {
            if (!armed.contains(rank) && rank != holdRank && rank != lastRank) {
                commands.add(new AddressedCommand(rank, arm));
            }
        }
        if (commands.isEmpty()) {
            int next = armed.contains(holdRank) ? lastRank : holdRank;
            commands.add(new AddressedCommand(next, arm));
        }
    }

    private void addPrepares(List<AddressedCommand> commands, long nowNanos) {
        EngineCommand command = new EngineCommand.Prepare(version, map.orElseThrow());
        for (int rank = 0; rank < statuses.length; rank++) {
            Long acceptedNanos = prepareAcceptedNanos.get(rank);
            boolean accepted =
                    acceptedNanos != null && nowNanos - acceptedNanos < PREPARE_RETRY_NANOS;
            if (!prepared.contains(rank) && !accepted) {
                commands.add(new AddressedCommand(rank, command));
            }
        }
    }

    /**
     * Returns the phase of the commit.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Returns whether the commit has ended.
     *
     * @return true if it is done or abandoned
     */
    public boolean hasEnded() {
        return phase == Phase.DONE || phase == Phase.ABANDONED;
    }

    /**
     * Returns the version of the map.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the map.
     *
     * @return the map; empty if an earlier leader planned it
     */
    public Optional<ExpertMap> map() {
        return map;
    }

    /**
     * Returns how many ranks are known to have fetched the map.
     *
     * @return the number; 0 if an earlier leader planned the change
     */
    public int preparedRanks() {
        return prepared.size();
    }

    /**
     * Returns how many ranks are known to be armed for the map or to use it.
     *
     * @return the number
     */
    public int armedRanks() {
        return armed.size();
    }

    /**
     * Returns the step at which the ranks switch to the map.
     *
     * @return the step; -1 before one is chosen
     */
    public long step() {
        return step;
    }
}
