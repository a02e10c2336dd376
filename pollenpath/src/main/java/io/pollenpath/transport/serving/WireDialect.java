package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;

/** Translates the headers and statuses that callers and backend servers use. */
public interface WireDialect {

    /** What the head of a backend server's answer says about the run. */
    enum ReplyKind {
        /** The answer belongs to the caller. */
        ANSWER,
        /** The server did not run the request. */
        NOT_RUN,
        /** The address belongs to another server, which did not run the request. */
        OTHER_SERVER,
        /** The answer lacks what a whole answer has, so it must not reach the caller. */
        UNPROVEN
    }

    /**
     * Reads what a caller says about its request.
     *
     * @param headers the headers of the request, not null
     * @return the facts; values that can't be read count as missing
     */
    CallerHeaders readCallerHeaders(HttpHeaders headers);

    /**
     * Sets what a backend server needs and removes what it must not see.
     *
     * @param headers the caller's headers, to be changed, not null
     * @param facts what to say, not null
     */
    void setForwardHeaders(HttpHeaders headers, ForwardHeaders facts);

    /**
     * Classifies the head of an answer.
     *
     * @param status the HTTP status
     * @param headers the headers, not null
     * @return what it says about the run
     */
    ReplyKind classify(int status, HttpHeaders headers);

    /**
     * Tells whether an answer belongs to a request.
     *
     * @param headers the headers of the answer, not null
     * @param requestId the identity of the request, not null
     * @return false if the answer names another request
     */
    boolean belongsTo(HttpHeaders headers, String requestId);
}
