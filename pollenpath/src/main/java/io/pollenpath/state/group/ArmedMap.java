package io.pollenpath.state.group;

/**
 * Names the map that a rank will use.
 *
 * @param version the version of the map
 * @param step the first step that uses it
 */
public record ArmedMap(long version, long step) {}
