package io.pollenpath.coordination;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a side process may admit a non-idempotent request under a grant.
 *
 * <p>Grants carry the time of the executor's own clock that the granter had seen, so neither clocks
 * of several VMs nor a late message matter: a grant that is as old as the memory of the ledger is
 * refused, because the ledger may have forgotten that the request ran.
 */
public final class GrantValidator {

    /** What a grant allows. */
    public enum Verdict {
        /** The grant is for this incarnation, and the ledger remembers everything since it. */
        VALID,
        /** The grant names another incarnation, which may have run the request. */
        OTHER_INCARNATION,
        /** The grant is older than the memory of the ledger. */
        EXPIRED
    }

    private final long incarnation;
    private final long startNanos;
    private final long lifeMs;

    /**
     * Creates the gate.
     *
     * @param incarnation the incarnation of this side process
     * @param startNanos when it started, in nanoseconds of its clock
     * @param retentionMs how long the ledger remembers ended requests, in milliseconds
     */
    public GrantValidator(long incarnation, long startNanos, long retentionMs) {
        this.incarnation = incarnation;
        this.startNanos = startNanos;
        lifeMs = retentionMs / 2;
    }

    /**
     * Checks a grant.
     *
     * @param grantIncarnation the incarnation that the grant names; 0 for a request without a grant
     * @param grantTimeMs the time that the grant carries, in milliseconds of this executor's clock
     * @param nowNanos the present time, in nanoseconds
     * @return the verdict
     */
    public Verdict validate(long grantIncarnation, long grantTimeMs, long nowNanos) {
        if (grantIncarnation != incarnation) {
            return Verdict.OTHER_INCARNATION;
        }
        boolean expired = executorTimeMs(nowNanos) - grantTimeMs >= lifeMs;
        return expired ? Verdict.EXPIRED : Verdict.VALID;
    }

    /**
     * Returns the time that grants carry.
     *
     * @param nowNanos the present time, in nanoseconds
     * @return the time since the start of this process, in milliseconds
     */
    public long executorTimeMs(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
    }
}
