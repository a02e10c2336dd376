package io.pollenpath.transport.entry;

import com.google.protobuf.ByteString;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.state.Contract;
import io.pollenpath.state.RequestKind;
import java.util.Objects;

/**
 * A request of a caller whose identity and contract have been checked.
 *
 * @param requestId the unique request id, not null
 * @param contract the contract of the customer, not null
 * @param kind the kind of the request, not null
 * @param target the model or service, not null
 * @param path the request path at the backend server, not null
 * @param body the body as the caller sent it, not null
 * @param streamed whether the caller wants server-sent events
 * @param costTokens the estimated work, in tokens
 * @param prefixHash the hash of the prompt's leading block, 0 for none
 * @param deadlineNanos when the whole answer is due, as a value of {@link System#nanoTime()}
 * @param contentDigest the digest of target, path and body, empty if no claim is needed, not null
 */
record CallerRequest(
        String requestId,
        Contract contract,
        RequestKind kind,
        String target,
        String path,
        byte[] body,
        boolean streamed,
        int costTokens,
        long prefixHash,
        long deadlineNanos,
        String contentDigest) {

    private static final long NANOS_PER_MS = 1_000_000;

    CallerRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(contract, "contract");
        Objects.requireNonNull(kind, "kind");
    }

    /**
     * Returns a copy with another id and a content digest; it must be claimed before it is sent.
     */
    CallerRequest withKey(String newRequestId, String newContentDigest) {
        return new CallerRequest(
                newRequestId,
                contract,
                kind,
                target,
                path,
                body,
                streamed,
                costTokens,
                prefixHash,
                deadlineNanos,
                newContentDigest);
    }

    /** Returns whether the run must be claimed before the request is sent. */
    boolean isKeyed() {
        return !contentDigest.isEmpty();
    }

    int remainingMs(long nowNanos) {
        return (int) Math.max(0, (deadlineNanos - nowNanos) / NANOS_PER_MS);
    }

    Submit.Builder toSubmit(int attempt, String traceparent, long nowNanos) {
        return Submit.newBuilder()
                .setRequestId(requestId)
                .setAttempt(attempt)
                .setCustomer(contract.customer())
                .setPriority(kind.priority().level())
                .setShare(contract.share())
                .setTarget(target)
                .setPath(path)
                .setBody(ByteString.copyFrom(body))
                .setStreamed(streamed)
                .setRepeatable(kind.repeatable())
                .setRemainingMs(remainingMs(nowNanos))
                .setCostTokens(costTokens)
                .setTraceparent(traceparent);
    }
}
