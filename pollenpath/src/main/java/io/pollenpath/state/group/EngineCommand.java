package io.pollenpath.state.group;

/** A command to one engine in the two-phase commit of an expert map. */
public sealed interface EngineCommand {

    /**
     * Makes the rank fetch the experts of a map that it does not hold yet.
     *
     * @param version the version of the map
     * @param map the map, for all ranks
     */
    record Prepare(long version, ExpertMap map) implements EngineCommand {}

    /**
     * Prevents the whole group from starting a step.
     *
     * @param step the step to hold
     */
    record Hold(long step) implements EngineCommand {}

    /**
     * Makes the rank use a prepared map from a given step on.
     *
     * @param version the version of the map
     * @param step the first step that uses the map
     */
    record Arm(long version, long step) implements EngineCommand {}

    /**
     * Allows the group to start a held step.
     *
     * @param step the held step
     */
    record Release(long step) implements EngineCommand {}

    /**
     * Cancels an armed map. Also sent to make the rank reject lower fencing tokens from then on.
     *
     * @param version the version of the map
     */
    record Disarm(long version) implements EngineCommand {}
}
