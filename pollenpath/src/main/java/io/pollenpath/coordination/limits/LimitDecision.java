package io.pollenpath.coordination.limits;

/**
 * The decision whether a request is within the limits of its contract.
 *
 * @param admitted whether the request may proceed
 * @param code the error code of the exceeded limit, empty if admitted, not null
 * @param waitMs the estimated time until the limit allows a request, in milliseconds, 0 if admitted
 */
public record LimitDecision(boolean admitted, String code, double waitMs) {

    /** The decision to admit. */
    public static final LimitDecision ADMITTED = new LimitDecision(true, "", 0);
}
