package io.pollenpath.transport.group;

import io.pollenpath.transport.HttpAddress;
import java.util.Objects;

/**
 * The addresses of an agent and of the engine on the same VM.
 *
 * @param agent the address at which the agent listens, not null
 * @param engine the address at which the engine receives commands, not null
 */
public record AgentAddress(HttpAddress agent, HttpAddress engine) {

    /** Checks the components. */
    public AgentAddress {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(engine, "engine");
    }
}
