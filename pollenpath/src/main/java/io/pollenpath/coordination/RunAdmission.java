package io.pollenpath.coordination;

import java.util.Objects;

/**
 * Decides what a side process does with an attempt that arrives, so that a non-idempotent request
 * starts at most once and "not run" is said only where it is true for good.
 */
public final class RunAdmission {

    /**
     * Holds an attempt that arrives.
     *
     * @param requestId the request, not null
     * @param attempt the number of the attempt, rising from 1
     * @param idempotent whether the request is idempotent, so that it needs no grant
     * @param grantIncarnation the incarnation that the grant names, 0 for none
     * @param grantTimeMs the time of this executor that the grant carries, in milliseconds
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

    /** What to do with an attempt. */
    public enum Decision {
        /** It is new: queue it. */
        ADMIT,
        /** It is known and wanted: attach the sender to the run. */
        ATTACH,
        /** This attempt, or a later one, was refused before: it has not run and never will. */
        REFUSED_BEFORE,
        /** No new work is taken: it has not run and this attempt never will. */
        DRAINING,
        /** Another incarnation of this process may have run it. */
        EXECUTOR_LOST,
        /** The request may have run and been forgotten. */
        GRANT_EXPIRED
    }

    private final GrantValidator gate;
    private final RunLedger ledger;

    /**
     * Creates the decision.
     *
     * @param gate checks grants, not null
     * @param ledger remembers requests, not null
     */
    public RunAdmission(GrantValidator gate, RunLedger ledger) {
        this.gate = gate;
        this.ledger = ledger;
    }

    /**
     * Decides on an attempt and remembers the decision in the ledger.
     *
     * @param arrival the attempt, not null
     * @param accepting whether new work is taken
     * @param nowNanos the present time, in nanoseconds
     * @return the decision
     */
    public Decision submit(Arrival arrival, boolean accepting, long nowNanos) {
        String id = arrival.requestId();
        if (ledger.wouldAdmit(id, arrival.attempt())) {
            GrantValidator.Verdict verdict = check(arrival, nowNanos);
            if (verdict != GrantValidator.Verdict.VALID) {
                return verdict == GrantValidator.Verdict.EXPIRED
                        ? Decision.GRANT_EXPIRED
                        : Decision.EXECUTOR_LOST;
            }
            if (!accepting) {
                ledger.refuse(id, arrival.attempt(), nowNanos);
                return Decision.DRAINING;
            }
        }
        return switch (ledger.submit(id, arrival.attempt(), nowNanos)) {
            case ADMIT -> Decision.ADMIT;
            case ATTACH -> Decision.ATTACH;
            case REFUSE -> Decision.REFUSED_BEFORE;
        };
    }

    private GrantValidator.Verdict check(Arrival arrival, long nowNanos) {
        return arrival.idempotent()
                ? GrantValidator.Verdict.VALID
                : gate.validate(arrival.grantIncarnation(), arrival.grantTimeMs(), nowNanos);
    }
}
