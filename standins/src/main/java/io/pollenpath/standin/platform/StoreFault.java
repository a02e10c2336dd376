package io.pollenpath.standin.platform;

/** A fault that {@link PlatformStoreStandin} applies to all calls until the next one is set. */
public enum StoreFault {

    /** No fault. */
    NONE,

    /** Every call fails with 503 and isn't executed. */
    UNAVAILABLE,

    /** Every call fails with 429 and isn't executed. */
    TOO_MANY_CALLS,

    /** No call is executed or answered. */
    SILENT,

    /** Every call is executed and answered, but only after 700 ms. */
    SLOW,

    /** Writes are executed but not answered; reads work. */
    ANSWERS_LOST
}
