package io.pollenpath.coordination.group;

import io.pollenpath.state.group.EngineCommand;
import java.util.Objects;

/**
 * A command for an engine and the rank that must carry it out.
 *
 * @param rank the rank
 * @param command the command, not null
 */
public record AddressedCommand(int rank, EngineCommand command) {

    /** Checks the components. */
    public AddressedCommand {
        Objects.requireNonNull(command, "command");
    }
}
