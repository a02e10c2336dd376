package io.pollenpath.standin.platform;

/** What the stand-in of an engine does wrong with the next requests. */
public enum EngineFault {

    /** Nothing. */
    NONE,

    /** Refuses without running, and says so. */
    NOT_RUN,

    /** Answers as another engine at the same address would. */
    OTHER_SERVER,

    /** Runs the request and closes the connection without an answer. */
    ANSWER_LOST,

    /** Runs the request and answers with a failure of its own. */
    FAILS,

    /** Refuses with 503 without saying whether it ran. */
    UNCLEAR_REFUSAL,

    /** Sends bytes that are no answer. */
    GARBAGE,

    /** Closes the connection in the middle of the body. */
    CUT_SHORT,

    /** Sends the answer to another request first. */
    FOREIGN_ANSWER_FIRST,

    /** Sends a second answer after the right one. */
    EXTRA_ANSWER,

    /** Answers without a length and ends the body with the connection. */
    NO_LENGTH,

    /** Never answers. */
    SILENT
}
