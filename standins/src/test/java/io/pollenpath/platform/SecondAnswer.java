package io.pollenpath.platform;

/** Where a server that answers twice writes the bytes of its second answer. */
enum SecondAnswer {
    /** It stops within its answer, and then answers the same request once more. */
    WITHIN_THE_FIRST,
    /** It stops within its answer, and then repeats the answer before it on the connection. */
    OF_AN_EARLIER_REQUEST,
    /** Its answer names no end; a second one follows, which is cut by the end of the connection. */
    BEHIND_NO_LENGTH
}
