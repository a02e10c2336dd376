package io.pollenpath.state.serving;

import java.util.Objects;
import java.util.Optional;

/**
 * The declaration of a service.
 *
 * @param name the name, not null
 * @param maxConnections the number of connections that each of its servers accepts in total, at
 *     least 1
 * @param performance the performance of its engines, not null; empty for a plain service
 * @param group the shape of its rank groups, not null; empty if its servers are not ranks
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        Optional<EnginePerformance> performance,
        Optional<GroupShape> group) {

    /** Checks the components. */
    public ServiceSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(performance, "performance");
        Objects.requireNonNull(group, "group");
        if (maxConnections < 1) {
            throw new IllegalArgumentException(
                    "service " + name + " has a maxConnections below 1; set it to at least 1");
        }
    }
}
