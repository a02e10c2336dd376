package io.pollenpath.coordination;

import java.util.List;
import java.util.Objects;

/**
 * The settings by which a process replicates the configuration.
 *
 * @param process the unique name of the process, not null
 * @param zone its availability zone, not null
 * @param epoch the epoch of the configuration; operators raise it after a restore of the store
 * @param kinds the kinds of object to replicate, not empty
 * @param watchersPerZone the target number of processes per zone that watch the store, at least 1
 */
public record ConfigAgentOptions(
        String process, String zone, long epoch, List<String> kinds, int watchersPerZone) {

    /** Default number of watchers in each zone. */
    public static final int DEFAULT_WATCHERS_PER_ZONE = 2;

    /** Checks and copies the components. */
    public ConfigAgentOptions {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(zone, "zone");
        kinds = List.copyOf(kinds);
        if (kinds.isEmpty()) {
            throw new IllegalArgumentException("kinds is empty; specify at least one kind");
        }
        if (watchersPerZone < 1) {
            throw new IllegalArgumentException(
                    "watchersPerZone is " + watchersPerZone + "; it must be at least 1");
        }
    }
}
