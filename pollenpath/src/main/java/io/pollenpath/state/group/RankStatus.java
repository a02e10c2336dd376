package io.pollenpath.state.group;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The state of an engine as a rank of its group, as the engine reports it.
 *
 * @param group the name of the group, not null
 * @param epoch the epoch, which increases each time the group forms again
 * @param rank the rank, from 0
 * @param size the number of ranks
 * @param open whether the group is in operation
 * @param step the last step that was started
 * @param mapVersion the version of the active map
 * @param prepared the version of the map whose experts are fetched; empty if there is none
 * @param armed the map to which the rank will switch; empty if there is none
 * @param held the step that the group does not start before it is released; empty if there is none
 * @param busy whether the engine is executing a command
 * @param slowdown how many times longer the engine takes for its work than usual, above 0
 */
public record RankStatus(
        String group,
        long epoch,
        int rank,
        int size,
        boolean open,
        long step,
        long mapVersion,
        OptionalLong prepared,
        Optional<ArmedMap> armed,
        OptionalLong held,
        boolean busy,
        double slowdown) {

    /** Checks the components. */
    public RankStatus {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(prepared, "prepared");
        Objects.requireNonNull(armed, "armed");
        Objects.requireNonNull(held, "held");
        if (rank < 0 || rank >= size) {
            throw new IllegalArgumentException(
                    "rank " + rank + " must be at least 0 and less than size " + size);
        }
        if (!(slowdown > 0 && Double.isFinite(slowdown))) {
            throw new IllegalArgumentException(
                    "the slowdown is " + slowdown + "; report a number above 0, 1 if usual");
        }
    }

    /**
     * Returns whether the prepared map has a version.
     *
     * @param version the version
     * @return true if the experts of that version are fetched
     */
    public boolean hasPrepared(long version) {
        return prepared.isPresent() && prepared.getAsLong() == version;
    }

    /**
     * Returns whether a step is held at this rank.
     *
     * @param heldStep the step
     * @return true if that step is held
     */
    public boolean holds(long heldStep) {
        return held.isPresent() && held.getAsLong() == heldStep;
    }

    /**
     * Returns whether the group is in operation and no map change is in progress at this rank.
     *
     * @return true if the group is open, no map is armed, no step is held and no command is
     *     executing
     */
    public boolean isMapStable() {
        return open && armed.isEmpty() && held.isEmpty() && !busy;
    }
}
