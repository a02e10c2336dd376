package io.pollenpath.transport.serving;

import io.netty.handler.codec.http.HttpHeaders;

/** Writes the answer to one request of a caller. All calls are made on the event loop, in order. */
interface CallerAnswer {

    /** Writes a complete answer with its content length. */
    void writeFull(int status, HttpHeaders headers, byte[] body);

    /** Writes the status and headers of a streamed answer. */
    void writeHead(int status, HttpHeaders headers);

    /** Writes and flushes a chunk of a streamed answer. */
    void writeChunk(byte[] bytes);

    /** Ends a complete streamed answer. */
    void finishStream();

    /** Closes the connection, so that the caller sees a partial answer as incomplete. */
    void abort();

    /** Returns whether the write buffer of the connection accepts more bytes. */
    boolean isWritable();
}
