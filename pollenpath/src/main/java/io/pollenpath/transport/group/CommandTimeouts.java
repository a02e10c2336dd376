package io.pollenpath.transport.group;

import io.pollenpath.state.group.EngineCommand;

/** How long an agent waits for an engine to answer a command. */
public final class CommandTimeouts {

    /** A map is a long message, and no step waits for it. */
    private static final long PREPARE_TIMEOUT_MS = 60;

    /** A step may be held until the engine answers, so a lost command is repeated soon. */
    private static final long SHORT_TIMEOUT_MS = 25;

    private static final long REMOTE_PREPARE_TIMEOUT_MS = 150;

    /** Two round trips between regions and the start of a connection. */
    private static final long REMOTE_SHORT_TIMEOUT_MS = 60;

    private CommandTimeouts() {}

    /**
     * Returns the timeout of a command to the engine on another VM.
     *
     * @param command the command, not null
     * @return the timeout, in milliseconds
     */
    public static long remoteMs(EngineCommand command) {
        return command instanceof EngineCommand.Prepare
                ? REMOTE_PREPARE_TIMEOUT_MS
                : REMOTE_SHORT_TIMEOUT_MS;
    }

    /**
     * Returns the timeout of a command to the engine on the same VM.
     *
     * @param command the command, not null
     * @return the timeout, in milliseconds
     */
    public static long localMs(EngineCommand command) {
        return command instanceof EngineCommand.Prepare ? PREPARE_TIMEOUT_MS : SHORT_TIMEOUT_MS;
    }
}
