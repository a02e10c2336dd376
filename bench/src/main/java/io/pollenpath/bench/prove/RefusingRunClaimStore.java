package io.pollenpath.bench.prove;

import io.pollenpath.coordination.ClaimAction;
import io.pollenpath.state.RunClaim;
import io.pollenpath.transport.entry.RunClaimStore;
import io.pollenpath.transport.entry.RunRefusedException;
import java.util.concurrent.CompletableFuture;

/** Refuses every claim; for harnesses without an Object API, which send no keyed requests. */
final class RefusingRunClaimStore implements RunClaimStore {

    @Override
    public CompletableFuture<RunClaim> claim(
            String requestId, String contentDigest, RunClaim wanted, RunClaim refused) {
        return refusal();
    }

    @Override
    public CompletableFuture<RunClaim> release(RunClaim refused) {
        return refusal();
    }

    private static CompletableFuture<RunClaim> refusal() {
        return CompletableFuture.failedFuture(
                new RunRefusedException(ClaimAction.Refusal.STORE_UNAVAILABLE));
    }
}
