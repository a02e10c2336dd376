package io.pollenpath.bench.prove.runs;

/** A deliberate defect in one mechanism, which shows that the fault cases detect its failure. */
public enum Mutant {
    /** No defect. */
    NONE(Policy.CLAIMS),
    /** Executors ignore the incarnation that a claim names. */
    NO_INCARNATION(Policy.CLAIMS),
    /** Executors answer "not run" without keeping a tombstone for the refused attempt. */
    NO_TOMBSTONE(Policy.CLAIMS),
    /** Executors accept claims of any age. */
    NO_GRANT_LIFE(Policy.CLAIMS),
    /** The store writes without comparing versions. */
    NO_FENCE(Policy.CLAIMS),
    /** Entries answer "not run" without releasing the claim. */
    NO_RELEASE(Policy.CLAIMS),
    /** Executors accept claims that were granted by a replaced slot owner. */
    NO_SLOT_FENCE(Policy.SLOTS),
    /** A new slot owner grants claims before every executor has accepted its fencing token. */
    SERVE_UNFENCED(Policy.SLOTS),
    /**
     * A new slot owner ignores that an executor terminated before it returned the keys it holds.
     */
    LOSS_IGNORED(Policy.SLOTS);

    private final Policy policy;

    Mutant(Policy policy) {
        this.policy = policy;
    }

    /**
     * Returns the policy whose mechanism has the defect.
     *
     * @return the policy
     */
    public Policy policy() {
        return policy;
    }
}
