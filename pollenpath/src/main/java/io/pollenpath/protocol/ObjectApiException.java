package io.pollenpath.protocol;

import java.util.Objects;

/** Thrown when a call of the Object API fails; the message names the remedy. */
public final class ObjectApiException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Kinds of failures. */
    public enum Kind {
        /** The object does not exist. */
        NOT_FOUND,
        /** The object exists already, or its resource version differs from the given one. */
        CONFLICT,
        /** The requested revision is no longer retained; list the objects again. */
        GONE,
        /** The API rejected the object as invalid. */
        INVALID,
        /** The API could not be reached, or a read was not answered in time. */
        UNAVAILABLE,
        /** The answer was lost, so a write may have taken effect; read the object to find out. */
        OUTCOME_UNKNOWN
    }

    private final Kind kind;

    /**
     * Creates the exception.
     *
     * @param kind the kind of failure, not null
     * @param message the cause and the remedy
     */
    public ObjectApiException(Kind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns the kind of failure.
     *
     * @return the kind
     */
    public Kind kind() {
        return kind;
    }
}
