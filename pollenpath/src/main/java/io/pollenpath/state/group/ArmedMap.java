package io.pollenpath.state.group;

/**
 * The map to which a rank will switch, and when.
 *
 * @param version the version of the map
 * @param step the first step that uses the map
 */
public record ArmedMap(long version, long step) {}
