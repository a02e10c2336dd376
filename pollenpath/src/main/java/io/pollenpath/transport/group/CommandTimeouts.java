package io.pollenpath.transport.group;

import io.pollenpath.state.group.EngineCommand;

/** How long an agent waits for the engine on its own VM to answer a command. */
public final class CommandTimeouts {

    /** A map is a long message, and no step waits for it. */
    private static final long PREPARE_TIMEOUT_MS = 60;

    /** A step may be held until the engine answers, so a lost command is repeated soon. */
    private static final long SHORT_TIMEOUT_MS = 25;

    private CommandTimeouts() {}

    /**
     * Returns the timeout of a command.
     *
     * @param command the command, not null
     * @return the timeout, in milliseconds
     */
    public static long localMs(EngineCommand command) {
        return command instanceof EngineCommand.Prepare ? PREPARE_TIMEOUT_MS : SHORT_TIMEOUT_MS;
    }
}
