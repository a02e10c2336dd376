package io.pollenpath.coordination;

import java.util.concurrent.TimeUnit;

/**
 * Checks whether a side process may admit a non-idempotent request under a grant.
 *
 * <p>A grant carries a time of the executor's own clock, the latest that the granter had seen, so
 * the check is safe under clock differences between VMs and under message delays. A grant is
 * refused once its age reaches half the retention time of the run ledger, because the ledger may
 * have dropped the run of an older grant.
 */
public final class GrantValidator {

    /** The result of a check. */
    public enum Verdict {
        /**
         * The grant is for this incarnation, and the ledger still has every run since the grant.
         */
        VALID,
        /** The grant names another incarnation, which may have run the request. */
        OTHER_INCARNATION,
        /** The grant is too old: the ledger may have dropped the run of the request. */
        EXPIRED
    }

    private final long incarnation;
    private final long startNanos;
    private final long grantLifetimeMs;

    /**
     * Creates a validator for one incarnation.
     *
     * @param incarnation the incarnation of this side process
     * @param startNanos the start time of this side process, in nanoseconds of its clock
     * @param retentionMs the time for which the ledger retains ended requests, in milliseconds
     */
    public GrantValidator(long incarnation, long startNanos, long retentionMs) {
        this.incarnation = incarnation;
        this.startNanos = startNanos;
        grantLifetimeMs = retentionMs / 2;
    }

    /**
     * Checks a grant.
     *
     * @param grantIncarnation the incarnation named in the grant; 0 for a request without a grant
     * @param grantTimeMs the time carried by the grant, in milliseconds of this executor's clock
     * @param nowNanos the current time, in nanoseconds
     * @return the verdict
     */
    public Verdict validate(long grantIncarnation, long grantTimeMs, long nowNanos) {
        if (grantIncarnation != incarnation) {
            return Verdict.OTHER_INCARNATION;
        }
        boolean expired = executorTimeMs(nowNanos) - grantTimeMs >= grantLifetimeMs;
        return expired ? Verdict.EXPIRED : Verdict.VALID;
    }

    /**
     * Returns the current executor time, as carried by grants.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the time since the start of this process, in milliseconds
     */
    public long executorTimeMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
    }
}
