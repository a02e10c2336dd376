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
 * Takes one map from its plan to its first step on every rank.
 *
 * <p>All ranks fetch the map. Then a step ahead is held at one rank, and only once that is seen are
 * the ranks armed for it; the step is released only when every rank is armed. From the first arm on
 * there is no way back: orders are repeated until they are seen done, so a late copy of any of them
 * finds its step begun, or repeats what is so already. A new epoch of the group clears all of it
 * and ends the commit.
 *
 * <p>The caller sends what {@link #next} returns, and reports each outcome and each status.
 */
public final class MapCommit {

    /** Steps between the newest known step and the one that is held, so that arming costs none. */
    static final int LEAD_STEPS = 2;

    /** How long after a rank took the order to fetch it is sent again. */
    private static final long FETCH_REPEAT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Where the commit stands. */
    public enum Phase {
        /** Ranks fetch the experts that are new to them. */
        PREPARING,
        /** The hold is being placed. */
        HOLDING,
        /** Ranks are being armed; the step is held. */
        ARMING,
        /** All ranks are armed; the hold is being taken away. */
        RELEASING,
        /** The hold is gone; all ranks switch at the step. */
        DONE,
        /** Given up; nothing of it is in force or will be. */
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
    private final Map<Integer, Long> fetchingSinceNanos = new HashMap<>();
    private Phase phase;
    private long firstStep;
    private long step = -1;
    private boolean holdSeen;

    /**
     * Creates a commit.
     *
     * @param version the version, higher than any that a rank has had
     * @param map the map, not null
     * @param epoch the epoch of the group that it is for
     * @param holdRank the rank at which the step is held
     * @param firstStep the first step that may be held: a late order of this leader may still
     *     release an earlier one
     * @param prepareDeadlineNanos when fetching is given up
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
     * Creates a commit that finishes what another leader began: the map is fetched everywhere, and
     * a step is held or some ranks are armed.
     *
     * @param version the version that is fetched everywhere
     * @param ranks the number of ranks
     * @param epoch the epoch of the group
     * @param holdRank the rank at which the step is held
     * @param step the step
     * @return the commit, in the phase of arming
     */
    public static MapCommit finishing(
            long version, int ranks, long epoch, int holdRank, long step) {
        MapCommit commit =
                new MapCommit(version, Optional.empty(), ranks, epoch, holdRank, Long.MAX_VALUE);
        commit.step = step;
        commit.holdSeen = true;
        commit.phase = Phase.ARMING;
        return commit;
    }

    /**
     * Takes the state of a rank.
     *
     * @param status the state, not null
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
            holdSeen = true;
        }
    }

    /**
     * Takes what became of an order.
     *
     * @param rank the rank
     * @param order the order, not null
     * @param outcome what became of it, not null
     * @param nowNanos the present time
     */
    public void onOutcome(int rank, EngineCommand order, CommandResult outcome, long nowNanos) {
        if (outcome != CommandResult.ACCEPTED) {
            return;
        }
        if (order instanceof EngineCommand.Prepare) {
            fetchingSinceNanos.put(rank, nowNanos);
        }
        if (order instanceof EngineCommand.Arm arm && arm.step() == step) {
            armed.add(rank);
        }
        if (order instanceof EngineCommand.Release release && release.step() == step) {
            phase = phase == Phase.RELEASING ? Phase.DONE : phase;
        }
    }

    /**
     * Moves on as far as what is known allows.
     *
     * @param nowNanos the present time
     * @return the orders to send now, at most one for each rank; the caller leaves out ranks that
     *     still work on an earlier one
     */
    public List<AddressedCommand> next(long nowNanos) {
        if (phase == Phase.PREPARING) {
            stepPreparing(nowNanos);
        }
        if (phase == Phase.HOLDING) {
            stepHolding();
        }
        if (phase == Phase.ARMING && armed.size() == statuses.length) {
            phase = Phase.RELEASING;
        }
        if (phase == Phase.RELEASING && holdIsGone()) {
            phase = Phase.DONE;
        }
        return orders(nowNanos);
    }

    private void stepPreparing(long nowNanos) {
        if (prepared.size() == statuses.length && statuses[holdRank] != null) {
            phase = Phase.HOLDING;
        } else if (nowNanos - prepareDeadlineNanos > 0) {
            phase = Phase.ABANDONED;
        }
    }

    private void stepHolding() {
        if (holdSeen) {
            phase = Phase.ARMING;
            return;
        }
        // No rank was armed, so another step may be taken; a hold that is there is used.
        OptionalLong held = statuses[holdRank].held();
        long newest = newestStep();
        if (held.isPresent()) {
            step = held.getAsLong();
            holdSeen = true;
            phase = Phase.ARMING;
        } else if (step < 0 || newest >= step) {
            step = Math.max(newest + LEAD_STEPS, firstStep);
        }
    }

    private long newestStep() {
        long newest = 0;
        for (RankStatus status : statuses) {
            newest = status == null ? newest : Math.max(newest, status.step());
        }
        return newest;
    }

    private boolean holdIsGone() {
        RankStatus status = statuses[holdRank];
        return status != null && (status.step() >= step || status.mapVersion() == version);
    }

    private List<AddressedCommand> orders(long nowNanos) {
        List<AddressedCommand> orders = new ArrayList<>();
        switch (phase) {
            case PREPARING -> addPrepares(orders, nowNanos);
            case HOLDING ->
                    orders.add(new AddressedCommand(holdRank, new EngineCommand.Hold(step)));
            case ARMING -> addMissing(orders, armed, new EngineCommand.Arm(version, step));
            case RELEASING ->
                    orders.add(new AddressedCommand(holdRank, new EngineCommand.Release(step)));
            case DONE, ABANDONED -> {
                // Nothing is left to order.
            }
        }
        return orders;
    }

    private void addMissing(List<AddressedCommand> orders, Set<Integer> have, EngineCommand order) {
        for (int rank = 0; rank < statuses.length; rank++) {
            if (!have.contains(rank)) {
                orders.add(new AddressedCommand(rank, order));
            }
        }
    }

    private void addPrepares(List<AddressedCommand> orders, long nowNanos) {
        EngineCommand order = new EngineCommand.Prepare(version, map.orElseThrow());
        for (int rank = 0; rank < statuses.length; rank++) {
            Long sinceNanos = fetchingSinceNanos.get(rank);
            boolean fetching = sinceNanos != null && nowNanos - sinceNanos < FETCH_REPEAT_NANOS;
            if (!prepared.contains(rank) && !fetching) {
                orders.add(new AddressedCommand(rank, order));
            }
        }
    }

    /**
     * Returns where the commit stands.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Tells whether nothing more is ordered.
     *
     * @return true once done or abandoned
     */
    public boolean isOver() {
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
     * @return the map; empty if another leader planned it
     */
    public Optional<ExpertMap> map() {
        return map;
    }

    /**
     * Returns the step at which ranks switch.
     *
     * @return the step; -1 before one is taken
     */
    public long step() {
        return step;
    }
}
