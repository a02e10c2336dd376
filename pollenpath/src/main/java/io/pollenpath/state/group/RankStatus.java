package io.pollenpath.state.group;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what an engine says about its place in a rank group.
 *
 * @param group the name of the group, not null
 * @param epoch rises each time the group forms anew
 * @param rank the rank, from 0
 * @param size the number of ranks
 * @param open whether the group works
 * @param step the last step that was begun
 * @param mapVersion the version of the map in use
 * @param prepared the version whose experts are fetched
 * @param armed the map that the rank will switch to
 * @param held the step that the group does not begin before it is released
 * @param busy whether the engine is at work on an order
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
        boolean busy) {

    /** Checks the components. */
    public RankStatus {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(prepared, "prepared");
        Objects.requireNonNull(armed, "armed");
        Objects.requireNonNull(held, "held");
        if (rank < 0 || rank >= size) {
            throw new IllegalArgumentException("rank " + rank + " is not below size " + size);
        }
    }

    /**
     * Tells whether the fetched map has a version.
     *
     * @param version the version
     * @return true if its experts are fetched
     */
    public boolean hasPrepared(long version) {
        return prepared.isPresent() && prepared.getAsLong() == version;
    }

    /**
     * Tells whether a step is held at this rank.
     *
     * @param heldStep the step
     * @return true if it is
     */
    public boolean holds(long heldStep) {
        return held.isPresent() && held.getAsLong() == heldStep;
    }

    /**
     * Tells whether no change of the map is under way at this rank.
     *
     * @return true if nothing is armed, held or being fetched
     */
    public boolean isMapStable() {
        return open && armed.isEmpty() && held.isEmpty() && !busy;
    }
}
