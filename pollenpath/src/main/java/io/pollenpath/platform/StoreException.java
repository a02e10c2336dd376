package io.pollenpath.platform;

import java.util.concurrent.CompletionException;

/** Thrown when the store answers a call with a status other than success. */
final class StoreException extends RuntimeException {

    private static final long serialVersionUID = 1;

    private final int status;

    /**
     * Creates the exception.
     *
     * @param status the HTTP status
     * @param call the HTTP method and path of the call
     */
    StoreException(int status, String call) {
        super(call + " failed with HTTP status " + status + " from the store");
        this.status = status;
    }

    /** Returns whether a call failed because the store answered with the given status. */
    static boolean hasStatus(Throwable failure, int status) {
        return causeOf(failure) instanceof StoreException cause && cause.status == status;
    }

    /** Returns the failure itself if it is wrapped in a {@link CompletionException}. */
    static Throwable causeOf(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        return wrapped ? failure.getCause() : failure;
    }
}
