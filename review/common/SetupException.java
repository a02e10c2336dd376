package review.common;

/** The case could not be brought about, so that it says nothing about the rule. */
public final class SetupException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public SetupException(String message) {
        super(message);
    }
}
