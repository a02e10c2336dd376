package io.pollenpath.coordination;

import io.pollenpath.state.RunClaim;
import java.util.Objects;

/**
 * Holds what a {@link ClaimProtocol} wants done next.
 *
 * @param type the sort of step, not null
 * @param claim the claim to write or the claim in force; null for READ and REFUSED
 * @param refusal why no claim was got; null unless the type is REFUSED
 */
public record ClaimAction(Type type, RunClaim claim, Refusal refusal) {

    /** Sorts of step. */
    public enum Type {
        /** Create the claim, if none is stored. */
        CREATE,
        /** Replace the claim, if it still has the version of the new one. */
        UPDATE,
        /** Read the claim. */
        READ,
        /** Done: the claim is in force. */
        GRANTED,
        /** Done: no claim was got. */
        REFUSED
    }

    /** Reasons for which no claim is got. */
    public enum Refusal {
        /** The store did not answer, so whether the request runs elsewhere is not known. */
        STORE_UNAVAILABLE,
        /** The key was used before with other content. */
        KEY_REUSED,
        /** No server takes work, and no attempt of the request has run. */
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
