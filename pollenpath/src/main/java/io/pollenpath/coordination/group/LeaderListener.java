package io.pollenpath.coordination.group;

import io.pollenpath.state.group.CommandResult;
import io.pollenpath.state.group.RankStatus;

/** Receives the decisions of the leader of a group, for logging. */
public interface LeaderListener {

    /**
     * Called when a map change starts.
     *
     * @param commit the commit of the change, not null
     * @param plan the plan that the change carries out, not null
     */
    void onCommitStarted(MapCommit commit, MapPlanner.Plan plan);

    /**
     * Called when this leader continues a map change that an earlier leader left unfinished.
     *
     * @param commit the commit of the change, not null
     */
    void onCommitTakenOver(MapCommit commit);

    /**
     * Called when a map change enters another phase and has not ended.
     *
     * @param commit the commit of the change, not null
     */
    void onCommitPhase(MapCommit commit);

    /**
     * Called when the command to hold a step was refused or not answered.
     *
     * @param commit the commit of the change that needs the step, not null
     * @param step the step
     * @param result the result of the command, not null
     */
    void onHoldFailed(MapCommit commit, long step, CommandResult result);

    /**
     * Called when a map change ends.
     *
     * @param commit the commit of the change, not null
     * @param superseded whether the change was dropped because the demand has shifted
     */
    void onCommitEnded(MapCommit commit, boolean superseded);

    /**
     * Called when no unfinished change of an earlier leader is left in an epoch.
     *
     * @param epoch the epoch
     */
    void onRecovered(long epoch);

    /**
     * Called when a rank holds a step though no change is in progress: a command to hold it was
     * carried out after the step had been released.
     *
     * @param status the status of the rank, not null
     */
    void onLateHold(RankStatus status);

    /**
     * Called when the group has formed again under a new epoch.
     *
     * @param epoch the new epoch
     * @param before the previous epoch
     */
    void onEpochChanged(long epoch, long before);
}
