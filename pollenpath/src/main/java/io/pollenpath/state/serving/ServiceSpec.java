package io.pollenpath.state.serving;

import java.util.Objects;
import java.util.Optional;

/**
 * Declares a service.
 *
 * @param name the name, not null
 * @param maxConnections the connections that one of its servers accepts from all callers together
 * @param performance the pace of its engines; empty for a plain service
 * @param group the shape of its rank groups; empty if its servers are no ranks
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        Optional<EnginePerformance> performance,
        Optional<GroupShape> group) {

    /** Checks the components. */
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(performance, "pace");
        Objects.requireNonNull(group, "group");
        if (maxConnections < 1) {
            throw new IllegalArgumentException(
                    "service " + name + " accepts no connection; set 1 or more");
        }
    }
}
