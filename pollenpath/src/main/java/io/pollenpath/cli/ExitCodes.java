package io.pollenpath.cli;

/** Exit codes of every command. */
final class ExitCodes {

    /** The command succeeded; after a signal, all accepted work was finished. */
    static final int OK = 0;

    /** The command failed; the message says how to proceed. */
    static final int FAILED = 1;

    /** The command line or a setting is not valid. */
    static final int USAGE = 2;

    /** Another operator changed the object at the same time. */
    static final int CONFLICT = 3;

    /** After a signal, the grace period ended before all accepted work was finished. */
    static final int GRACE_EXCEEDED = 4;

    private ExitCodes() {}
}
