package io.pollenpath.coordination.group;

import io.pollenpath.state.group.EngineCommand;
import java.util.Objects;

/**
 * Holds an order and the rank that it is for.
 *
 * @param rank the rank
 * @param command the order, not null
 */
public record AddressedCommand(int rank, EngineCommand command) {

    /** Checks the components. */
    public AddressedCommand {
        Objects.requireNonNull(command, "order");
    }
}
