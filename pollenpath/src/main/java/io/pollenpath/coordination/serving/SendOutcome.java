package io.pollenpath.coordination.serving;

/**
 * The outcome of an attempt on one backend server whose answer, if any, is not forwarded at once.
 */
public enum SendOutcome {

    /** No byte of the request reached the server. */
    NOT_SENT,

    /** The server answered that it did not run the request. */
    NOT_RUN,

    /** The address now belongs to another server, which did not run the request. */
    OTHER_SERVER,

    /** The server ran the request and answered with an error. */
    RUN_AND_FAILED,

    /** The server ran the request; the end of its answer may be the begin of a second answer. */
    DOUBTFUL,

    /**
     * Events of a stream were passed on, and other bytes that came on the connection show that some
     * of them may not be the server's.
     */
    SPOILT,

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

    /**
     * Returns whether there is an answer that is forwarded if no other server gives a better one.
     *
     * @return true if the answer is whole
     */
    public boolean hasAnswer() {
        return this == RUN_AND_FAILED || this == DOUBTFUL;
    }
}
