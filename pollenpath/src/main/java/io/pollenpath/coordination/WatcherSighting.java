package io.pollenpath.coordination;

import java.util.Objects;

/**
 * A report that a process was watching the Object API.
 *
 * @param process the unique name of the process, not null
 * @param zone the availability zone of the process, not null
 * @param ageMs the time since the process reported itself as a watcher, in milliseconds
 */
public record WatcherSighting(String process, String zone, long ageMs) {

    /** Checks the components. */
    public WatcherSighting {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(zone, "zone");
    }
}
