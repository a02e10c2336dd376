package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;

/** Receives the answer to one send of a request. All calls are made on the event loop. */
interface BackendListener {

    /** Receives the status and headers of the answer. */
    void onHead(int status, HttpHeaders headers);

    /** Receives a part of the body. */
    void onData(byte[] bytes);

    /**
     * Judges the end of a complete answer. One that is unclear is judged again when more bytes have
     * come.
     *
     * @param behind the bytes that came behind the answer; usually none
     */
    AnswerEnd judgeEnd(byte[] behind);

    /** Returns how long a complete answer may wait for the bytes that make its end clear. */
    long maxEndWaitMs();

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
