package io.pollenpath.platform;

import java.util.concurrent.CompletionException;

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

    /** Tells whether a failed call was answered with a status; looks through wrapped failures. */
    static boolean hasStatus(Throwable failure, int status) {
        return causeOf(failure) instanceof StoreException refused && refused.status == status;
    }

    /** Returns the failure of a call without the wrapping of the future that carried it. */
    static Throwable causeOf(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }
}
