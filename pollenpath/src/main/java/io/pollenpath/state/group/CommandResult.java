package io.pollenpath.state.group;

/** The result of a command to an engine. */
public enum CommandResult {

    /** The engine has started or completed the command, or was already in the requested state. */
    ACCEPTED,

    /** The command does not fit the state of the engine; nothing was changed. */
    REJECTED,

    /** A leader with a higher fencing token has already reached the engine or its agent. */
    FENCED,

    /** No usable answer was received; the command may still be executed later. */
    UNKNOWN
}
