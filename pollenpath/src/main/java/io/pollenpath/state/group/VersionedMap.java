package io.pollenpath.state.group;

import java.util.Objects;

/**
 * An expert map with its version.
 *
 * @param version the version, 0 for the first map of an epoch
 * @param map the map, not null
 */
public record VersionedMap(long version, ExpertMap map) {

    /** Checks the components. */
    public VersionedMap {
        Objects.requireNonNull(map, "map");
    }
}
