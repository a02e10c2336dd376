package io.pollenpath.bench.prove.runs;

/** A deliberate defect in one mechanism, which shows that the fault cases detect its failure. */
public enum Mutant {
    /** No defect. */
    NONE(GrantPolicy.CLAIMS),
    /** Executors ignore the incarnation that a claim names. */
    NO_INCARNATION(GrantPolicy.CLAIMS),
    /** Executors answer "not run" without keeping a tombstone for the refused attempt. */
    NO_TOMBSTONE(GrantPolicy.CLAIMS),
    /** Executors accept claims of any age. */
    NO_GRANT_LIFE(GrantPolicy.CLAIMS),
    /** The store writes without comparing versions. */
    NO_FENCE(GrantPolicy.CLAIMS),
    /** Entries answer "not run" without releasing the claim. */
    NO_RELEASE(GrantPolicy.CLAIMS),
    /** Executors accept claims that were granted by a replaced slot owner. */
    NO_SLOT_FENCE(GrantPolicy.SLOTS),
    /** A new slot owner grants claims before every executor has accepted its fencing token. */
    SERVE_UNFENCED(GrantPolicy.SLOTS),
    /**
     * A new slot owner ignores that an executor terminated before it returned the keys it holds.
     */
    LOSS_IGNORED(GrantPolicy.SLOTS);

    private final GrantPolicy policy;

    Mutant(GrantPolicy policy) {
        this.policy = policy;
    }

    /**
     * Returns the policy whose mechanism has the defect.
     *
     * @return the policy
     */
    public GrantPolicy policy() {
        return policy;
    }
}
