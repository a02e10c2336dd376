package io.pollenpath.coordination.group;

/** Hears what the leader of a group decides, for logs. */
public interface LeaderListener {

    /**
     * Takes the start of a change.
     *
     * @param commit the change, not null
     * @param plan why it was started, not null
     */
    void onCommitStarted(MapCommit commit, MapPlanner.Plan plan);

    /**
     * Takes a change that an earlier leader began and this one finishes.
     *
     * @param commit the change, not null
     */
    void onCommitTakenOver(MapCommit commit);

    /**
     * Takes the end of a change.
     *
     * @param commit the change, not null
     * @param superseded whether it was dropped because the demand has shifted
     */
    void onCommitEnded(MapCommit commit, boolean superseded);

    /**
     * Takes that nothing of earlier leaders is left in an epoch.
     *
     * @param epoch the epoch
     */
    void onRecovered(long epoch);

    /**
     * Takes that the group has formed anew.
     *
     * @param epoch the new epoch
     * @param before the epoch before
     */
    void onEpochChanged(long epoch, long before);
}
