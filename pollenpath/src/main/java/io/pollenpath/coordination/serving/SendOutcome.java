package io.pollenpath.coordination.serving;

/** Tells how sending a request to one backend server ended without an answer to pass on. */
public enum SendOutcome {

    /** No byte of the request can have reached the server. */
    NOT_SENT,

    /** The server says that it did not run the request. */
    NOT_RUN,

    /** The address belongs to another server now, which did not run the request. */
    OTHER_SERVER,

    /** The server answered with a failure of its own after it had run the request. */
    RUN_AND_FAILED,

    /** The connection broke or carried bytes that are no answer; the request may have run. */
    UNKNOWN;

    /**
     * Tells whether the request certainly did not run on that server.
     *
     * @return true unless it has run or may have run
     */
    public boolean notRun() {
        return this == NOT_SENT || this == NOT_RUN || this == OTHER_SERVER;
    }
}
