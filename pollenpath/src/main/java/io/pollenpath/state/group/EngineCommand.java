package io.pollenpath.state.group;

/** Orders one engine to do its part of a change of the expert map. */
public sealed interface EngineCommand {

    /**
     * Fetches the experts of a map that the rank does not hold yet.
     *
     * @param version the version of the map
     * @param map the whole map
     */
    record Prepare(long version, ExpertMap map) implements EngineCommand {}

    /**
     * Keeps the whole group from beginning a step.
     *
     * @param step the step
     */
    record Hold(long step) implements EngineCommand {}

    /**
     * Makes the rank use a fetched map from a step on.
     *
     * @param version the version of the map
     * @param step the first step that uses it
     */
    record Arm(long version, long step) implements EngineCommand {}

    /**
     * Lets the group begin a held step.
     *
     * @param step the step
     */
    record Release(long step) implements EngineCommand {}

    /**
     * Takes back an armed map; also done to raise the fence of the rank.
     *
     * @param version the version of the map
     */
    record Disarm(long version) implements EngineCommand {}
}
