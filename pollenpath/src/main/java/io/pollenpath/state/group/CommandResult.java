package io.pollenpath.state.group;

/** Tells what became of an order. */
public enum CommandResult {

    /** The engine has begun or done it, or its state already held. */
    ACCEPTED,

    /** It does not fit the state of the engine; nothing was changed. */
    REJECTED,

    /** A leader with a higher fencing token has been at the engine. */
    FENCED,

    /** No answer came; it may be carried out later. */
    UNKNOWN
}
