package io.pollenpath.state.serving;

/** Tells how often one request may run on backend servers. */
public enum Repeatability {

    /** The request may run more than once. */
    IDEMPOTENT,

    /** The request runs at most once. */
    NON_IDEMPOTENT
}
