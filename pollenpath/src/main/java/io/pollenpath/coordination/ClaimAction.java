package io.pollenpath.coordination;

import io.pollenpath.state.RunClaim;
import java.util.Objects;

/**
 * The next action that a {@link ClaimProtocol} requests, or its final result.
 *
 * @param type the type of the action, not null
 * @param claim the claim to write, or the active claim if the type is GRANTED; null for READ and
 *     REFUSED
 * @param refusal why no claim was obtained; null unless the type is REFUSED
 */
public record ClaimAction(Type type, RunClaim claim, Refusal refusal) {

    /** Types of action. */
    public enum Type {
        /** Create the claim on the condition that none is stored. */
        CREATE,
        /**
         * Replace the stored claim on the condition that its version equals that of the new one.
         */
        UPDATE,
        /** Read the stored claim. */
        READ,
        /** Finished: the claim is active. */
        GRANTED,
        /** Finished: no claim was obtained. */
        REFUSED
    }

    /** Reasons why no claim was obtained. */
    public enum Refusal {
        /** The store did not answer, so it is unknown whether the request runs elsewhere. */
        STORE_UNAVAILABLE,
        /** The idempotency key was used before with different content. */
        KEY_REUSED,
        /** No server accepts work, and no attempt of the request has run. */
        NO_SERVER,
        /** Another entry has claimed a later attempt. */
        CLAIMED_AGAIN
    }

    /** Checks the components. */
    public ClaimAction {
        Objects.requireNonNull(type, "type");
    }

    static ClaimAction read() {
        return new ClaimAction(Type.READ, null, null);
    }

    static ClaimAction granted(RunClaim claim) {
        return new ClaimAction(Type.GRANTED, claim, null);
    }

    static ClaimAction refused(Refusal refusal) {
        return new ClaimAction(Type.REFUSED, null, refusal);
    }
}
