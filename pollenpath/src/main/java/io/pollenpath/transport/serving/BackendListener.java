package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;

/** Receives the answer to one send of a request. All calls are made on the event loop. */
interface BackendListener {

    /** Receives the status and headers of the answer. */
    void onHead(int status, HttpHeaders headers);

    /** Receives a part of the body. */
    void onData(byte[] bytes);

    /** Returns whether a part of a chunk is held back until the chunk is whole. */
    default boolean takesWholeChunks() {
        return false;
    }

    /**
     * Judges the end of a complete answer. One that is unclear is judged again when more bytes have
     * come.
     *
     * @param behind the bytes that came behind the answer; usually none
     */
    AnswerEnd judgeEnd(byte[] behind);

    /**
     * Returns how long a complete answer waits for the bytes that make its end clear.
     *
     * @param end what its end tells so far, not null
     * @return the time, in milliseconds; 0 if it does not wait
     */
    long endWaitMs(AnswerEnd end);

    /**
     * Handles the end of a complete answer.
     *
     * @param behind the bytes that came behind it on the connection; usually none
     */
    void onEnd(byte[] behind);

    /**
     * Handles the end of an answer that only the end of its connection marks. The server may have
     * ended before the answer was complete.
     */
    void onEndByClose();

    /** Handles the failure of the send; no other call follows. */
    void onFailed(SendOutcome outcome, String cause);
}
