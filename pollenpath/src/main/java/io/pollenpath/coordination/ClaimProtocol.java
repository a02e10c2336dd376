package io.pollenpath.coordination;

import io.pollenpath.coordination.ClaimAction.Refusal;
import io.pollenpath.state.RunClaim;

/**
 * The protocol by which one entry obtains or releases the claim on one non-idempotent request, as a
 * state machine that maps each event to the next action.
 *
 * <p>Every write is conditional, and a write whose answer is lost is resolved by reading the claim.
 * It therefore does not matter which write took effect: every entry that reads a claim may send the
 * request to the executor named in it, and to no other.
 */
public final class ClaimProtocol {

    /** Ways in which a write can fail. */
    public enum WriteFailure {
        /** The condition of the write did not hold, because another write was made first. */
        CONFLICT,
        /** The answer was lost; the write may have taken effect, or may still do so. */
        OUTCOME_UNKNOWN,
        /** The write certainly did not take effect. */
        UNAVAILABLE
    }

    private static final int MAX_WRITES = 4;

    private final String contentDigest;
    private final RunClaim proposed;
    private final RunClaim refused;
    private final boolean releasing;
    private int writes;

    private ClaimProtocol(
            String contentDigest, RunClaim proposed, RunClaim refused, boolean releasing) {
        this.contentDigest = contentDigest;
        this.proposed = proposed;
        this.refused = refused;
        this.releasing = releasing;
    }

    /**
     * Creates a protocol that claims a request.
     *
     * @param contentDigest the digest of the request content, not null
     * @param proposed the claim to write; null if no server accepts work
     * @param refused the claim that its executor has refused permanently; null if there is none
     * @return the protocol
     * @throws IllegalArgumentException if there is a refused claim but no proposed one
     */
    public static ClaimProtocol claim(String contentDigest, RunClaim proposed, RunClaim refused) {
        if (proposed == null && refused != null) {
            throw new IllegalArgumentException(
                    "a refused claim cannot be replaced without a proposed claim; release it");
        }
        return new ClaimProtocol(contentDigest, proposed, refused, false);
    }

    /**
     * Creates a protocol that releases a claim that its executor has refused permanently, so that
     * the caller can be told that the request has not run.
     *
     * @param refused the refused claim, not null
     * @return the protocol
     */
    public static ClaimProtocol release(RunClaim refused) {
        return new ClaimProtocol(refused.contentDigest(), null, refused, true);
    }

    /**
     * Returns the first action.
     *
     * @return the action
     */
    public ClaimAction start() {
        if (refused != null) {
            return replace(refused);
        }
        return proposed == null ? ClaimAction.read() : write(ClaimAction.Type.CREATE, proposed);
    }

    /**
     * Handles a successful write.
     *
     * @param stored the claim as stored, not null
     * @return the next action
     */
    public ClaimAction onWritten(RunClaim stored) {
        return ClaimAction.granted(stored);
    }

    /**
     * Handles a failed write.
     *
     * @param failure how it failed, not null
     * @return the next action
     */
    public ClaimAction onWriteFailed(WriteFailure failure) {
        return failure == WriteFailure.UNAVAILABLE
                ? ClaimAction.refused(Refusal.STORE_UNAVAILABLE)
                : ClaimAction.read();
    }

    /**
     * Handles the result of a read that found a claim.
     *
     * @param stored the stored claim, not null
     * @return the next action
     */
    public ClaimAction onRead(RunClaim stored) {
        if (!stored.contentDigest().equals(contentDigest)) {
            return ClaimAction.refused(Refusal.KEY_REUSED);
        }
        boolean knownRefused = refused != null && stored.attempt() <= refused.attempt();
        if (releasing && !knownRefused) {
            return ClaimAction.refused(Refusal.CLAIMED_AGAIN);
        }
        if (releasing && stored.released()) {
            return ClaimAction.granted(stored);
        }
        return stored.released() || knownRefused ? replace(stored) : ClaimAction.granted(stored);
    }

    /**
     * Handles the result of a read that found no claim.
     *
     * @return the next action
     */
    public ClaimAction onMissing() {
        if (proposed == null) {
            return ClaimAction.refused(releasing ? Refusal.CLAIMED_AGAIN : Refusal.NO_SERVER);
        }
        return write(ClaimAction.Type.CREATE, proposed);
    }

    /**
     * Handles a failed read.
     *
     * @return the next action
     */
    public ClaimAction onReadFailed() {
        return ClaimAction.refused(Refusal.STORE_UNAVAILABLE);
    }

    private ClaimAction replace(RunClaim stored) {
        if (releasing) {
            return write(ClaimAction.Type.UPDATE, stored.asReleased());
        }
        if (proposed == null) {
            return ClaimAction.refused(Refusal.NO_SERVER);
        }
        return write(ClaimAction.Type.UPDATE, proposed.replacing(stored));
    }

    private ClaimAction write(ClaimAction.Type type, RunClaim claim) {
        if (writes >= MAX_WRITES) {
            return ClaimAction.refused(Refusal.STORE_UNAVAILABLE);
        }
        writes++;
        return new ClaimAction(type, claim, null);
    }
}
