package io.pollenpath.transport.group;

import io.pollenpath.state.group.ExpertMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The expert maps that an agent has passed to its engine last, by version; thread-safe. */
final class RecentMaps {

    /** Enough for the active map and for changes that a leader has dropped since. */
    private static final int MAX_MAPS = 4;

    private final Map<Long, ExpertMap> maps =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, ExpertMap> eldest) {
                    return size() > MAX_MAPS;
                }
            };

    synchronized void add(long version, ExpertMap map) {
        maps.put(version, map);
    }

    synchronized Optional<ExpertMap> find(long version) {
        return Optional.ofNullable(maps.get(version));
    }
}
