package io.pollenpath.standin.platform;

/** What the stand-in of the store does wrong. */
public enum StoreFault {

    /** Nothing. */
    NONE,

    /** Each call gets 503 and is not done. */
    UNAVAILABLE,

    /** Each call gets 429 and is not done. */
    TOO_MANY_CALLS,

    /** No call gets an answer, and none is done. */
    SILENT,

    /** Writes are done and get no answer. */
    ANSWERS_LOST
}
