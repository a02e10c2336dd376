package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;

/** Writes the answer to one request of a caller. Calls come from the event loop, in order. */
interface CallerAnswer {

    /** Writes a whole answer. */
    void whole(int status, HttpHeaders headers, byte[] body);

    /** Writes the head of a streamed answer. */
    void head(int status, HttpHeaders headers);

    /** Writes a piece of a streamed answer at once. */
    void piece(byte[] bytes);

    /** Ends a streamed answer that is whole. */
    void end();

    /** Closes the connection, so that a begun answer does not look whole. */
    void abort();

    /** Tells whether the caller reads fast enough for more bytes. */
    boolean isWritable();
}
