package io.pollenpath.coordination.queue;

import java.util.Objects;
import java.util.Optional;

/**
 * The decision on a request for admission.
 *
 * @param admitted whether the request was queued
 * @param code the error code of a refusal, empty if admitted, not null
 * @param retryAfterMs when a refused caller should retry, in milliseconds from now; for an
 *     admission that displaced a request, when the caller of that request should retry
 * @param displaced the queued request that was removed to free its place and never runs; empty if
 *     none, not null
 */
public record Admission(
        boolean admitted, String code, int retryAfterMs, Optional<WorkItem> displaced) {

    /** The decision to admit. */
    public static final Admission ADMITTED = new Admission(true, "", 0, Optional.empty());

    /** Checks the components. */
    public Admission {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(displaced, "displaced");
    }

    /**
     * Creates a refusal.
     *
     * @param code the error code, not null
     * @param retryAfterMs when to retry, in milliseconds from now
     * @return the refusal
     */
    public static Admission refused(String code, int retryAfterMs) {
        return new Admission(false, code, retryAfterMs, Optional.empty());
    }

    /**
     * Creates an admission that displaced a queued request.
     *
     * @param item the removed request, not null
     * @param retryAfterMs when the caller of the removed request should retry, in milliseconds
     * @return the admission
     */
    public static Admission displacing(WorkItem item, int retryAfterMs) {
        return new Admission(true, "", retryAfterMs, Optional.of(item));
    }
}
