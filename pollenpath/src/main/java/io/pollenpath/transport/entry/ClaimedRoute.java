package io.pollenpath.transport.entry;

import io.pollenpath.coordination.ClaimAction;
import io.pollenpath.protocol.Problem;
import io.pollenpath.protocol.wire.Grant;
import io.pollenpath.state.Executed;
import io.pollenpath.state.RunClaim;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Keeps the claim of one request between its attempts; used on the loop of the caller's connection.
 */
final class ClaimedRoute {

    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_UNPROCESSABLE = 422;
    private static final int RETRY_AFTER_MS = 1_000;

    private final RunClaimStore guard;
    private final CallerRequest request;
    private RunClaim claim;

    ClaimedRoute(RunClaimStore guard, CallerRequest request) {
        this.guard = guard;
        this.request = request;
    }

    /** Claims the next attempt; the claim that the last attempt used counts as refused for good. */
    CompletableFuture<RunClaim> next(SideLink candidate) {
        RunClaim wanted = candidate == null ? null : wanted(candidate);
        return guard.claim(request.requestId(), request.contentDigest(), wanted, claim);
    }

    private RunClaim wanted(SideLink candidate) {
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

    /** Remembers the claim under which the request is sent. */
    void use(RunClaim granted) {
        claim = granted;
    }

    boolean hasClaim() {
        return claim != null;
    }

    /** Turns a refusal of the executor into a final answer: "not run" only once that is certain. */
    CompletableFuture<Problem> confirmNotRun(Problem refusal) {
        return guard.release(claim)
                .handle((released, failure) -> failure == null ? refusal : toProblem(failure));
    }

    static Problem unreachable() {
        return new Problem(
                STATUS_UNAVAILABLE,
                "executor_unreachable",
                "the server that may have run it cannot be reached; send it again with the same"
                        + " key",
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

    /** Builds the grant of a claim. */
    static Grant grant(RunClaim claim) {
        return Grant.newBuilder()
                .setFence(claim.fence())
                .setExecutor(claim.executor())
                .setExecutorIncarnation(claim.incarnation())
                .setExecutorTimeMs(claim.executorTimeMs())
                .build();
    }

    /** Builds the grant of a request that only this entry can send, and only once. */
    static Grant grant(SideLink link) {
        return Grant.newBuilder()
                .setExecutor(link.server().name())
                .setExecutorIncarnation(link.incarnation())
                .setExecutorTimeMs(link.executorTimeMs())
                .build();
    }
}
