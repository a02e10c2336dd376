package io.pollenpath.state;

import java.util.Locale;

/** Whether a request was started on a backend server, as reported to the caller. */
public enum Executed {
    /** The request was not started and never will be. */
    NO,
    /** The request was started. */
    YES,
    /** The request may have been started; the connection was lost before the outcome was known. */
    UNKNOWN;

    /**
     * Returns the form used in answers.
     *
     * @return {@code no}, {@code yes} or {@code unknown}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
