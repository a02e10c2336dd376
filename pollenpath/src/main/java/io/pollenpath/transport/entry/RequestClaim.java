package io.pollenpath.transport.entry;

import io.pollenpath.coordination.ClaimAction;
import io.pollenpath.protocol.Problem;
import io.pollenpath.protocol.wire.Grant;
import io.pollenpath.state.Executed;
import io.pollenpath.state.RunClaim;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Tracks the run claim of one request across its attempts. Used on the event loop of the caller's
 * connection.
 */
final class RequestClaim {

    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_UNPROCESSABLE = 422;
    private static final int RETRY_AFTER_MS = 1_000;

    private final RunClaimStore claimStore;
    private final CallerRequest request;
    private RunClaim claim;

    RequestClaim(RunClaimStore claimStore, CallerRequest request) {
        this.claimStore = claimStore;
        this.request = request;
    }

    /**
     * Claims the next attempt. The claim of the previous attempt is treated as permanently refused.
     *
     * @param candidate the server to claim, or null if none accepts work
     * @return the effective claim, which may name another server than the candidate
     */
    CompletableFuture<RunClaim> claimNext(SideLink candidate) {
        RunClaim proposed = candidate == null ? null : proposedClaim(candidate);
        return claimStore.claim(request.requestId(), request.contentDigest(), proposed, claim);
    }

    private RunClaim proposedClaim(SideLink candidate) {
        return new RunClaim(
                request.requestId(),
                request.contentDigest(),
                candidate.server().name(),
                candidate.incarnation(),
                candidate.executorTimeMs(),
                1,
                0,
                false,
                0);
    }

    /** Stores the claim under which the request is sent. */
    void setClaim(RunClaim granted) {
        claim = granted;
    }

    boolean hasClaim() {
        return claim != null;
    }

    /**
     * Returns the refusal itself once the claim is released and the request certainly has not run,
     * else a problem that says that this is unknown.
     */
    CompletableFuture<Problem> confirmNotRun(Problem refusal) {
        return claimStore
                .release(claim)
                .handle((released, failure) -> failure == null ? refusal : toProblem(failure));
    }

    static Problem unreachable() {
        return new Problem(
                STATUS_UNAVAILABLE,
                "executor_unreachable",
                "the server that may have run the request is unreachable; retry with the same key",
                Executed.UNKNOWN,
                RETRY_AFTER_MS);
    }

    static Problem toProblem(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        ClaimAction.Refusal refusal =
                cause instanceof RunRefusedException refused
                        ? refused.refusal()
                        : ClaimAction.Refusal.STORE_UNAVAILABLE;
        String detail = new RunRefusedException(refusal).getMessage();
        return switch (refusal) {
            case KEY_REUSED -> Problem.rejected(STATUS_UNPROCESSABLE, "key_reused", detail);
            case NO_SERVER -> unavailable("no_server", detail, Executed.NO);
            case STORE_UNAVAILABLE -> unavailable("claim_unavailable", detail, Executed.UNKNOWN);
            case CLAIMED_AGAIN -> unavailable("sent_again", detail, Executed.UNKNOWN);
        };
    }

    private static Problem unavailable(String code, String detail, Executed executed) {
        return new Problem(STATUS_UNAVAILABLE, code, detail, executed, RETRY_AFTER_MS);
    }

    /** Returns the grant for a request that runs under a claim. */
    static Grant grant(RunClaim claim) {
        return Grant.newBuilder()
                .setFence(claim.fence())
                .setExecutor(claim.executor())
                .setExecutorIncarnation(claim.incarnation())
                .setExecutorTimeMs(claim.executorTimeMs())
                .build();
    }

    /** Returns the grant for a request without a key, which only this entry sends and only once. */
    static Grant grant(SideLink link) {
        return Grant.newBuilder()
                .setExecutor(link.server().name())
                .setExecutorIncarnation(link.incarnation())
                .setExecutorTimeMs(link.executorTimeMs())
                .build();
    }
}
