package io.pollenpath.coordination.serving;

/**
 * The latest time in which the store did not answer.
 *
 * @param awayMs how long it did not answer, in milliseconds; 0 if it always has
 * @param endNanos when it answered again, in nanoseconds
 */
public record StoreOutage(long awayMs, long endNanos) {

    /** No outage. */
    public static final StoreOutage NONE = new StoreOutage(0, 0);
}
