package io.pollenpath.coordination.group;

import io.pollenpath.state.group.EngineCommand;
import java.util.HashSet;
import java.util.Set;

/**
 * The map changes that one leader finishes or undoes in one epoch. Engines cannot refuse late
 * copies of the leader's own commands, so it never undoes a change that it has begun to finish, nor
 * the reverse: a late arm command would arm one rank alone, and a late disarm command would leave
 * one out.
 */
final class ChangeDecisions {

    private static final long NONE = -1;

    private final Set<Long> finished = new HashSet<>();
    private final Set<Long> undone = new HashSet<>();
    private long lastReleasedStep = NONE;

    /**
     * Records that the change to a map is finished, which may include that its step was released.
     *
     * @param version the version of the map
     */
    void finish(long version) {
        finished.add(version);
    }

    /**
     * Records that the change to a map is undone.
     *
     * @param version the version of the map
     */
    void undo(long version) {
        undone.add(version);
    }

    /**
     * Returns whether this leader has begun to finish the change to a map.
     *
     * @param version the version of the map
     * @return true if late copies of its commands may arm ranks for the map or release its step
     */
    boolean isFinished(long version) {
        return finished.contains(version);
    }

    /**
     * Returns whether this leader has begun to undo the change to a map.
     *
     * @param version the version of the map
     * @return true if late copies of its commands may disarm ranks
     */
    boolean isUndone(long version) {
        return undone.contains(version);
    }

    /** Returns whether this leader has begun to undo any change in this epoch. */
    boolean undoesAny() {
        return !undone.isEmpty();
    }

    /**
     * Records a command that the leader sends.
     *
     * @param command the command, not null
     */
    void onSent(EngineCommand command) {
        if (command instanceof EngineCommand.Release release) {
            lastReleasedStep = Math.max(lastReleasedStep, release.step());
        }
    }

    /**
     * Returns the last step that this leader has released.
     *
     * @return the step, which a late copy of its command may release again; -1 if there is none
     */
    long lastReleasedStep() {
        return lastReleasedStep;
    }

    /** Forgets all changes, as a new epoch has cleared them on all ranks. */
    void clear() {
        finished.clear();
        undone.clear();
        lastReleasedStep = NONE;
    }
}
