package io.pollenpath.coordination.serving;

/** The outcome of an attempt on one backend server that gave no answer to forward. */
public enum SendOutcome {

    /** No byte of the request reached the server. */
    NOT_SENT,

    /** The server answered that it did not run the request. */
    NOT_RUN,

    /** The address now belongs to another server, which did not run the request. */
    OTHER_SERVER,

    /** The server ran the request and answered with an error. */
    RUN_AND_FAILED,

    /** The connection broke or carried no valid answer; the request may have run. */
    UNKNOWN;

    /**
     * Returns whether the request certainly did not run on that server.
     *
     * @return true unless it has run or may have run
     */
    public boolean notRun() {
        return this == NOT_SENT || this == NOT_RUN || this == OTHER_SERVER;
    }
}
