package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.coordination.serving.SendOutcome;

/** Receives the answer to one request, on the event loop. */
interface BackendListener {

    /** Takes the head of the answer. */
    void onHead(int status, HttpHeaders headers);

    /** Takes a piece of the body. */
    void onData(byte[] bytes);

    /** Takes the end of a whole answer. */
    void onEnd();

    /** Takes the end of a send without a whole answer; nothing follows it. */
    void onBroken(SendOutcome outcome, String cause);
}
