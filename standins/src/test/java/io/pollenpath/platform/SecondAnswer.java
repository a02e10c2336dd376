package io.pollenpath.platform;

/** Where a server that answers twice writes the bytes of its second answer. */
enum SecondAnswer {
    /** It stops within its answer, and then answers the same request once more. */
    WITHIN_THE_FIRST(0),
    /** It stops within its answer, and then repeats the answer before it on the connection. */
    OF_AN_EARLIER_REQUEST(1),
    /** It stops within its answer, and then repeats the answer two before it on the connection. */
    OF_TWO_REQUESTS_BEFORE(2),
    /** It stops within its answer, and then answers the same request two times more. */
    TWICE_MORE(0),
    /** It stops within its answer, and then sends more bytes than are missing, of no answer. */
    NO_ANSWER(0),
    /** Its answer names no end; a second one follows, which is cut by the end of the connection. */
    BEHIND_NO_LENGTH(0),
    /** There is none: each answer is sound, and comes in many small pieces. */
    NEVER(0);

    private final int requestsBefore;

    SecondAnswer(int requestsBefore) {
        this.requestsBefore = requestsBefore;
    }

    /** Returns how many requests before its own a second answer belongs to. */
    int requestsBefore() {
        return requestsBefore;
    }
}
