package io.pollenpath.coordination.group;

import io.pollenpath.state.group.EngineCommand;
import io.pollenpath.state.group.RankStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The newest status of each rank of a group, as the leader beside one of them knows it. */
final class RankStatuses {

    private final int ownRank;
    private final Map<Integer, RankStatus> byRank = new HashMap<>();

    /**
     * Creates statuses of which none is known.
     *
     * @param ownRank the rank on the VM of the leader
     */
    RankStatuses(int ownRank) {
        this.ownRank = ownRank;
    }

    void put(RankStatus status) {
        byRank.put(status.rank(), status);
    }

    void clear() {
        byRank.clear();
    }

    /** Returns the number of ranks with a known status. */
    int size() {
        return byRank.size();
    }

    Stream<RankStatus> stream() {
        return byRank.values().stream();
    }

    /** Returns the status of the leader's own rank; null if it is not known. */
    RankStatus own() {
        return byRank.get(ownRank);
    }

    /** Returns whether the status of every rank is known and the group is in operation. */
    boolean allOpen() {
        return own() != null
                && byRank.size() == own().size()
                && stream().allMatch(RankStatus::open);
    }

    /** Returns whether no rank has a map change in progress and all have one map. */
    boolean allQuiet() {
        long version = own().mapVersion();
        return stream().allMatch(status -> status.isMapStable() && status.mapVersion() == version);
    }

    /** Returns the only rank without a known status; empty unless there is one. */
    OptionalInt missingRank() {
        if (own() == null || byRank.size() != own().size() - 1) {
            return OptionalInt.empty();
        }
        return IntStream.range(0, own().size())
                .filter(rank -> !byRank.containsKey(rank))
                .findFirst();
    }

    /** Returns the commands that release all held steps up to a given one. */
    List<AddressedCommand> releasesUpTo(long lastStep) {
        return stream()
                .filter(status -> status.held().isPresent())
                .filter(status -> status.held().getAsLong() <= lastStep)
                .map(RankStatuses::release)
                .toList();
    }

    private static AddressedCommand release(RankStatus status) {
        long step = status.held().getAsLong();
        return new AddressedCommand(status.rank(), new EngineCommand.Release(step));
    }

    /** Returns how many times longer each rank takes for its work than usual. */
    double[] slowdowns() {
        double[] slowdowns = new double[byRank.size()];
        stream().forEach(status -> slowdowns[status.rank()] = status.slowdown());
        return slowdowns;
    }
}
