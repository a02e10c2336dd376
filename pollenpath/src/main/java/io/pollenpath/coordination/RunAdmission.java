package io.pollenpath.coordination;

import java.util.Objects;

/**
 * Decides whether a side process runs an attempt that it receives, so that a non-idempotent request
 * starts at most once, and an attempt is reported as not run only if it can never run.
 */
public final class RunAdmission {

    /**
     * An attempt received from an entry.
     *
     * @param requestId the id of the request, not null
     * @param attempt the number of the attempt, increasing from 1
     * @param idempotent whether the request is idempotent and therefore needs no grant
     * @param grantIncarnation the incarnation named in the grant, 0 without a grant
     * @param grantTimeMs the time of this executor's clock carried by the grant, in milliseconds
     */
    public record Arrival(
            String requestId,
            int attempt,
            boolean idempotent,
            long grantIncarnation,
            long grantTimeMs) {

        /** Checks the components. */
        public Arrival {
            Objects.requireNonNull(requestId, "requestId");
        }
    }

    /** The decision on an attempt. */
    public enum Decision {
        /** The attempt is new: queue it. */
        ADMIT,
        /** The request is already queued, running or finished: attach the sender to that run. */
        ATTACH,
        /** This or a later attempt was refused before: this attempt has not run and never will. */
        REFUSED_BEFORE,
        /** The process accepts no new work: this attempt has not run and never will. */
        DRAINING,
        /** The grant does not name this incarnation; another one may have run the request. */
        EXECUTOR_LOST,
        /** The request may have run and been dropped from the ledger since. */
        GRANT_EXPIRED
    }

    private final GrantValidator validator;
    private final RunLedger ledger;

    /**
     * Creates the admission check.
     *
     * @param validator checks grants, not null
     * @param ledger records requests, not null
     */
    public RunAdmission(GrantValidator validator, RunLedger ledger) {
        this.validator = validator;
        this.ledger = ledger;
    }

    /**
     * Decides on an attempt and records an admission or a refusal because of draining in the
     * ledger.
     *
     * @param arrival the attempt, not null
     * @param accepting whether the process accepts new work
     * @param nowNanos the current time, in nanoseconds
     * @return the decision
     */
    public Decision submit(Arrival arrival, boolean accepting, long nowNanos) {
        String requestId = arrival.requestId();
        if (ledger.wouldAdmit(requestId, arrival.attempt())) {
            GrantValidator.Verdict verdict = checkGrant(arrival, nowNanos);
            if (verdict != GrantValidator.Verdict.VALID) {
                return verdict == GrantValidator.Verdict.EXPIRED
                        ? Decision.GRANT_EXPIRED
                        : Decision.EXECUTOR_LOST;
            }
            if (!accepting) {
                ledger.refuse(requestId, arrival.attempt(), nowNanos);
                return Decision.DRAINING;
            }
        }
        return switch (ledger.submit(requestId, arrival.attempt(), nowNanos)) {
            case ADMIT -> Decision.ADMIT;
            case ATTACH -> Decision.ATTACH;
            case REFUSE -> Decision.REFUSED_BEFORE;
        };
    }

    private GrantValidator.Verdict checkGrant(Arrival arrival, long nowNanos) {
        return arrival.idempotent()
                ? GrantValidator.Verdict.VALID
                : validator.validate(arrival.grantIncarnation(), arrival.grantTimeMs(), nowNanos);
    }
}
