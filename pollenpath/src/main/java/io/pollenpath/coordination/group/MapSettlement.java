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
 * Brings a group to rest for a new leader, whatever the one before left behind.
 *
 * <p>First every rank takes an order with the new fencing token, which shuts out late orders of
 * earlier leaders. Only states read after that count. A change that some rank is armed for is
 * finished if its map is fetched everywhere; otherwise the armed ranks are disarmed. Holds without
 * a change behind them are released last.
 */
public final class MapSettlement {

    private final long fenceVersion;
    private final RankStatus[] statuses;
    private final boolean[] fenced;
    private long allFencedNanos;
    private boolean allFenced;

    /**
     * Creates a settlement.
     *
     * @param ranks the number of ranks
     * @param fenceVersion a version that no map has or will have
     */
    public MapSettlement(int ranks, long fenceVersion) {
        this.fenceVersion = fenceVersion;
        statuses = new RankStatus[ranks];
        fenced = new boolean[ranks];
    }

    /**
     * Takes the state of a rank.
     *
     * @param status the state, not null
     * @param readNanos when the engine was in that state at the earliest
     */
    public void onStatus(RankStatus status, long readNanos) {
        if (allFenced && readNanos - allFencedNanos >= 0) {
            statuses[status.rank()] = status;
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
        if (outcome != CommandResult.ACCEPTED || !(order instanceof EngineCommand.Disarm)) {
            return;
        }
        fenced[rank] = true;
        if (!allFenced && allTrue()) {
            allFenced = true;
            allFencedNanos = nowNanos;
        }
    }

    private boolean allTrue() {
        for (boolean one : fenced) {
            if (!one) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether the state of every rank was read after all were fenced, in one epoch.
     *
     * @return true once {@link #orders} and {@link #unfinished} may be trusted
     */
    public boolean isRead() {
        for (RankStatus status : statuses) {
            boolean other = status == null || status.epoch() != statuses[0].epoch();
            if (other || !status.open()) {
                return false;
            }
        }
        return true;
    }

    /** Forgets the states read, so that they are read again. */
    public void readAgain() {
        Arrays.fill(statuses, null);
    }

    /**
     * Tells whether nothing is left to do.
     *
     * @return true if no rank is armed or holds a step
     */
    public boolean isSettled() {
        return isRead()
                && Arrays.stream(statuses)
                        .allMatch(status -> status.armed().isEmpty() && status.held().isEmpty());
    }

    /**
     * Returns the change that another leader left and that can be finished.
     *
     * @return a commit in the phase of arming; empty if there is none
     */
    public Optional<MapCommit> unfinished() {
        Optional<ArmedMap> armed = firstArmed();
        OptionalLong holdRank = holdRank();
        if (!isRead() || armed.isEmpty() || holdRank.isEmpty()) {
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
                MapCommit.finishing(
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
     * Returns the orders to send now.
     *
     * @return the orders, none while states have to be read first
     */
    public List<AddressedCommand> orders() {
        List<AddressedCommand> orders = new ArrayList<>();
        if (!allFenced) {
            for (int rank = 0; rank < fenced.length; rank++) {
                if (!fenced[rank]) {
                    orders.add(new AddressedCommand(rank, new EngineCommand.Disarm(fenceVersion)));
                }
            }
            return orders;
        }
        if (!isRead()) {
            return orders;
        }
        for (RankStatus status : statuses) {
            status.armed()
                    .ifPresent(
                            armed ->
                                    orders.add(
                                            new AddressedCommand(
                                                    status.rank(),
                                                    new EngineCommand.Disarm(armed.version()))));
        }
        if (orders.isEmpty()) {
            addReleases(orders);
        }
        return orders;
    }

    private void addReleases(List<AddressedCommand> orders) {
        for (RankStatus status : statuses) {
            status.held()
                    .ifPresent(
                            step ->
                                    orders.add(
                                            new AddressedCommand(
                                                    status.rank(),
                                                    new EngineCommand.Release(step))));
        }
    }
}
