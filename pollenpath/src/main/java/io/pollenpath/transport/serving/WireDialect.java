package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/** Maps the HTTP headers and statuses of callers and backend servers to their meaning. */
public interface WireDialect {

    /** Classes of answers by what their head says about the execution of the request. */
    enum ReplyKind {
        /** The answer is valid and goes to the caller. */
        ANSWER,
        /** The server did not execute the request. */
        NOT_RUN,
        /** The address now belongs to another server, which did not execute the request. */
        OTHER_SERVER,
        /** The answer lacks proof that the server produced it, so it must not reach the caller. */
        UNPROVEN
    }

    /**
     * Parses the headers of a caller's request.
     *
     * @param headers the headers of the request, not null
     * @return the parsed values; malformed values count as missing
     */
    CallerHeaders readCallerHeaders(HttpHeaders headers);

    /**
     * Sets the headers for a backend server and removes those that it must not receive.
     *
     * @param headers the caller's headers, changed in place, not null
     * @param values the values to set, not null
     */
    void setForwardHeaders(HttpHeaders headers, ForwardHeaders values);

    /**
     * Classifies an answer by its status and headers.
     *
     * @param status the HTTP status
     * @param headers the headers, not null
     * @return the class of the answer
     */
    ReplyKind classify(int status, HttpHeaders headers);

    /**
     * Returns the rate of requests that a server takes from all entries together.
     *
     * @param headers the headers of an answer of the server, not null
     * @return the rate in requests a second, not negative; empty if the answer names none
     * @throws NumberFormatException if the answer names one that is no such number
     */
    OptionalDouble serverLimitPerSecond(HttpHeaders headers);

    /**
     * Returns whether a server says that it leaves.
     *
     * @param headers the headers of an answer of the server, not null
     * @return true if it takes no new requests
     */
    boolean isLeaving(HttpHeaders headers);

    /**
     * Returns how long a server that turned a request away wants no requests from this entry.
     *
     * @param status the HTTP status
     * @param headers the headers of the answer, not null
     * @return the time in milliseconds, not negative; empty if the answer names none
     * @throws NumberFormatException if the answer names one that is no number of seconds
     */
    OptionalLong pauseMs(int status, HttpHeaders headers);

    /**
     * Returns whether an answer belongs to a request.
     *
     * @param headers the headers of the answer, not null
     * @param requestId the ID of the request, not null
     * @return false if the answer names another request
     */
    boolean belongsTo(HttpHeaders headers, String requestId);

    /**
     * Returns whether an answer names the request that it belongs to.
     *
     * @param headers the headers of the answer, not null
     * @return false if only its place on the connection tells the request
     */
    boolean namesRequest(HttpHeaders headers);

    /**
     * Returns whether the lines of an event may begin with a name.
     *
     * @param name the text before the colon, or the whole line if it has none, not null
     * @return false if a line with this name belongs to no event
     */
    boolean isEventField(String name);
}
