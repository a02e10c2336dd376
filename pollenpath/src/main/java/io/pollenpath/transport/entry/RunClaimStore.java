package io.pollenpath.transport.entry;

import io.pollenpath.state.RunClaim;
import java.util.concurrent.CompletableFuture;

/** Decides among all entries which executor may run a non-idempotent request. */
public interface RunClaimStore {

    /**
     * Claims the run of a request, or returns the claim that is already effective.
     *
     * @param requestId the request, not null
     * @param contentDigest the digest of target, path and body, not null
     * @param proposed the claim to create; null if no server accepts work
     * @param refused the claim whose executor permanently refused the request; null if there is
     *     none
     * @return the effective claim; fails with {@link RunRefusedException}
     */
    CompletableFuture<RunClaim> claim(
            String requestId, String contentDigest, RunClaim proposed, RunClaim refused);

    /**
     * Releases the claim of a refused request, so that the request runs only if a caller sends it
     * again.
     *
     * @param refused the claim whose executor permanently refused the request, not null
     * @return completes once the request certainly has not run; fails with {@link
     *     RunRefusedException}
     */
    CompletableFuture<RunClaim> release(RunClaim refused);
}
