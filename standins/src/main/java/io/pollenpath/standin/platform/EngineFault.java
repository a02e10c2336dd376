package io.pollenpath.standin.platform;

/** A fault that {@link PlatformEngineStandin} injects into the answer to one request. */
public enum EngineFault {

    /** No fault. */
    NONE,

    /** Refuses with 503 and a header that says that the request was not executed. */
    NOT_RUN,

    /** Refuses with 421, as another engine at the same address does. */
    OTHER_SERVER,

    /** Executes the request and closes the connection without an answer. */
    ANSWER_LOST,

    /** Begins to execute the request, and the process of the engine ends. */
    CRASHES,

    /** Executes the request and answers with a signed 500. */
    FAILS,

    /** Refuses with 503 without saying whether the request was executed. */
    UNCLEAR_REFUSAL,

    /** Sends bytes that aren't an HTTP response and closes the connection. */
    GARBAGE,

    /** Closes the connection in the middle of the response body. */
    CUT_SHORT,

    /** Sends an answer with another request id before the right one. */
    FOREIGN_ANSWER_FIRST,

    /** Sends a second answer with the same request id after the right one. */
    EXTRA_ANSWER,

    /** Answers without a content length; the end of the connection ends the body. */
    NO_LENGTH,

    /**
     * Begins an answer without a content length, a stream up to the end of an event, and the
     * process of the engine ends; its connections are closed, not reset.
     */
    ENDS_IN_ANSWER,

    /** Like {@link #ENDS_IN_ANSWER}, but the process listens for a moment longer. */
    ENDS_IN_ANSWER_LISTENING,

    /** Like {@link #NO_LENGTH}, with a failure as a second answer before the connection ends. */
    NO_LENGTH_AND_EXTRA_ANSWER,

    /** Begins an answer without a length, and writes a failure in the middle of an event. */
    FAILS_IN_EVENT,

    /** Pauses in the middle of a stream for 2.5 s. */
    PAUSES_IN_STREAM,

    /** Begins a stream, and then sends bytes of one event that it never completes. */
    STALLS_IN_EVENT,

    /** Never answers and keeps the connection open until the caller closes it. */
    SILENT
}
