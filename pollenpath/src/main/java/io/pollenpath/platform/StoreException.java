package io.pollenpath.platform;

/** Tells that the store answered a call with something other than success. */
final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * Creates the exception.
     *
     * @param status the HTTP status
     * @param call the method and path
     */
    StoreException(int status, String call) {
        super(call + " got " + status + "; the call is made again later");
        this.status = status;
    }

    int status() {
        return status;
    }
}
