package io.pollenpath.state.serving;

/** Whether a request may run more than once on backend servers. */
public enum Repeatability {

    /** The request may run more than once. */
    IDEMPOTENT,

    /** The request must run at most once. */
    NON_IDEMPOTENT
}
