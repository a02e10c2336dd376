package io.pollenpath.transport.group;

import io.pollenpath.transport.HttpAddress;
import java.util.Objects;

/**
 * Names an agent and the engine beside it.
 *
 * @param agent where the agent listens, not null
 * @param engine where the engine takes orders, not null
 */
public record AgentAddress(HttpAddress agent, HttpAddress engine) {

    /** Checks the components. */
    public AgentAddress {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(engine, "engine");
    }
}
