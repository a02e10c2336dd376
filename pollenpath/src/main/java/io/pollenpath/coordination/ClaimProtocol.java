package io.pollenpath.coordination;

import io.pollenpath.coordination.ClaimAction.Refusal;
import io.pollenpath.state.RunClaim;

/**
 * Decides, event by event, how one entry gets or releases the claim of one non-idempotent request.
 *
 * <p>Every write is conditional, and a write whose answer is lost is settled by reading, so it does
 * not matter whose write took effect: whoever reads a claim may send the request to the executor
 * that it names, and to no other.
 */
public final class ClaimProtocol {

    /** Ways in which a write fails. */
    public enum WriteFailure {
        /** Another write came first. */
        CONFLICT,
        /** The answer was lost; the write may have taken effect, or may still do so. */
        OUTCOME_UNKNOWN,
        /** The write was certainly not made. */
        UNAVAILABLE
    }

    private static final int MAX_WRITES = 4;

    private final String contentDigest;
    private final RunClaim wanted;
    private final RunClaim refused;
    private final boolean releasing;
    private int writes;

    private ClaimProtocol(
            String contentDigest, RunClaim wanted, RunClaim refused, boolean releasing) {
        this.contentDigest = contentDigest;
        this.wanted = wanted;
        this.refused = refused;
        this.releasing = releasing;
    }

    /**
     * Starts to claim a request.
     *
     * @param contentDigest the digest of what is to be run, not null
     * @param wanted the claim to make; null if no server takes work
     * @param refused the claim whose executor has refused for good; null if there is none
     * @return the protocol
     * @throws IllegalArgumentException if there is a refused claim but no wanted one
     */
    public static ClaimProtocol claim(String contentDigest, RunClaim wanted, RunClaim refused) {
        if (wanted == null && refused != null) {
            throw new IllegalArgumentException("no server is wanted; release the refused claim");
        }
        return new ClaimProtocol(contentDigest, wanted, refused, false);
    }

    /**
     * Starts to release a claim whose executor has refused for good, so that "not run" may be said.
     *
     * @param refused the claim, not null
     * @return the protocol
     */
    public static ClaimProtocol release(RunClaim refused) {
        return new ClaimProtocol(refused.contentDigest(), null, refused, true);
    }

    /**
     * Returns the first step.
     *
     * @return the step
     */
    public ClaimAction start() {
        if (refused != null) {
            return replace(refused);
        }
        return wanted == null ? ClaimAction.read() : write(ClaimAction.Type.CREATE, wanted);
    }

    /**
     * Takes the success of a write.
     *
     * @param stored the claim as stored, not null
     * @return the next step
     */
    public ClaimAction onWritten(RunClaim stored) {
        return ClaimAction.granted(stored);
    }

    /**
     * Takes the failure of a write.
     *
     * @param failure how it failed, not null
     * @return the next step
     */
    public ClaimAction onWriteFailed(WriteFailure failure) {
        return failure == WriteFailure.UNAVAILABLE
                ? ClaimAction.refused(Refusal.STORE_UNAVAILABLE)
                : ClaimAction.read();
    }

    /**
     * Takes the stored claim.
     *
     * @param stored the claim, not null
     * @return the next step
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
     * Takes the news that no claim is stored.
     *
     * @return the next step
     */
    public ClaimAction onMissing() {
        if (wanted == null) {
            return ClaimAction.refused(releasing ? Refusal.CLAIMED_AGAIN : Refusal.NO_SERVER);
        }
        return write(ClaimAction.Type.CREATE, wanted);
    }

    /**
     * Takes the failure of a read.
     *
     * @return the next step
     */
    public ClaimAction onReadFailed() {
        return ClaimAction.refused(Refusal.STORE_UNAVAILABLE);
    }

    private ClaimAction replace(RunClaim stored) {
        if (releasing) {
            return write(ClaimAction.Type.UPDATE, stored.asReleased());
        }
        if (wanted == null) {
            return ClaimAction.refused(Refusal.NO_SERVER);
        }
        return write(ClaimAction.Type.UPDATE, wanted.replacing(stored));
    }

    private ClaimAction write(ClaimAction.Type type, RunClaim claim) {
        if (writes >= MAX_WRITES) {
            return ClaimAction.refused(Refusal.STORE_UNAVAILABLE);
        }
        writes++;
        return new ClaimAction(type, claim, null);
    }
}
