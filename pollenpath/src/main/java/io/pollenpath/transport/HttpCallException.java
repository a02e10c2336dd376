package io.pollenpath.transport;

/** Thrown if an HTTP call failed before its answer was complete. */
public final class HttpCallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates an exception.
     *
     * @param cause why the call failed
     * @param sent whether the request may have reached the server; false only if it certainly did
     *     not
     */
    public HttpCallException(Throwable cause, boolean sent) {
        super(
                "HTTP call failed: " + cause.getMessage() + "; check that the server is running",
                cause);
        this.sent = sent;
    }

    /**
     * Returns whether the request may have reached the server.
     *
     * @return false if it certainly did not
     */
    public boolean sent() {
        return sent;
    }
}
