package io.pollenpath.state;

import java.util.Objects;

/**
 * The claim of a non-idempotent request by the only executor that may run it, as stored for all
 * entries.
 *
 * @param requestId the identity of the request, derived from customer and key, not null
 * @param contentDigest the digest of the content of the request, not null
 * @param executor the backend server whose side process may run it, not null
 * @param incarnation the incarnation of that side process
 * @param executorTimeMs the time on the executor's clock before the claim was made, in milliseconds
 * @param attempt the number of the attempt, from 1; increases with each new executor
 * @param fence the fencing token of the slot owner that granted the claim; 0 if each claim is
 *     stored on its own
 * @param released whether the executor has refused this attempt permanently
 * @param version the version in the store, 0 if not stored yet
 */
public record RunClaim(
        String requestId,
        String contentDigest,
        String executor,
        long incarnation,
        long executorTimeMs,
        int attempt,
        long fence,
        boolean released,
        long version) {

    /** Checks the components. */
    public RunClaim {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(contentDigest, "contentDigest");
        Objects.requireNonNull(executor, "executor");
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt is " + attempt + "; set it to at least 1");
        }
    }

    /**
     * Returns a copy that replaces another claim.
     *
     * @param replaced the claim in the store, not null
     * @return the copy, with the next attempt and the version of the replaced claim
     */
    public RunClaim replacing(RunClaim replaced) {
        return new RunClaim(
                requestId,
                contentDigest,
                executor,
                incarnation,
                executorTimeMs,
                replaced.attempt + 1,
                fence,
                false,
                replaced.version);
    }

    /**
     * Returns a copy that is marked as released: this attempt never runs.
     *
     * @return the copy, with the same attempt and version
     */
    public RunClaim asReleased() {
        return new RunClaim(
                requestId,
                contentDigest,
                executor,
                incarnation,
                executorTimeMs,
                attempt,
                fence,
                true,
                version);
    }

    /**
     * Returns a copy with another version.
     *
     * @param newVersion the version in the store
     * @return the copy
     */
    public RunClaim withVersion(long newVersion) {
        return new RunClaim(
                requestId,
                contentDigest,
                executor,
                incarnation,
                executorTimeMs,
                attempt,
                fence,
                released,
                newVersion);
    }

    /**
     * Returns a copy with the fencing token of a slot owner.
     *
     * @param newFence the fencing token
     * @return the copy
     */
    public RunClaim withFence(long newFence) {
        return new RunClaim(
                requestId,
                contentDigest,
                executor,
                incarnation,
                executorTimeMs,
                attempt,
                newFence,
                released,
                version);
    }
}
