package io.pollenpath.transport;

import io.netty.handler.codec.CorruptedFrameException;

/** Tells why the bytes of a caller are no request that HTTP knows, or none that is served. */
public final class FlawedRequestException extends CorruptedFrameException {

    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param status the HTTP status of the answer to such a request
     * @param message what is wrong with the request, not null
     */
    public FlawedRequestException(int status, String message) {
        super(message);
        this.status = status;
    }

    /**
     * Returns how such a request is answered.
     *
     * @return the HTTP status
     */
    public int status() {
        return status;
    }
}
