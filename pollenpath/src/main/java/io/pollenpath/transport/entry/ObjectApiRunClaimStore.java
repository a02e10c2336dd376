package io.pollenpath.transport.entry;

import io.pollenpath.coordination.ClaimAction;
import io.pollenpath.coordination.ClaimProtocol;
import io.pollenpath.coordination.ClaimProtocol.WriteFailure;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ClaimObjects;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.state.RunClaim;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Stores the run claim of each non-idempotent request with a key as an object in the Object API.
 */
public final class ObjectApiRunClaimStore implements RunClaimStore {

    private final ObjectApi api;

    /**
     * Creates the store.
     *
     * @param api stores the claims, not null
     */
    public ObjectApiRunClaimStore(ObjectApi api) {
        this.api = api;
    }

    @Override
    public CompletableFuture<RunClaim> claim(
            String requestId, String contentDigest, RunClaim proposed, RunClaim refused) {
        ClaimProtocol protocol = ClaimProtocol.claim(contentDigest, proposed, refused);
        return run(requestId, protocol, protocol.start());
    }

    @Override
    public CompletableFuture<RunClaim> release(RunClaim refused) {
        ClaimProtocol protocol = ClaimProtocol.release(refused);
        return run(refused.requestId(), protocol, protocol.start());
    }

    private CompletableFuture<RunClaim> run(
            String requestId, ClaimProtocol protocol, ClaimAction action) {
        return switch (action.type()) {
            case GRANTED -> CompletableFuture.completedFuture(action.claim());
            case REFUSED ->
                    CompletableFuture.failedFuture(new RunRefusedException(action.refusal()));
            case READ ->
                    api.get(ClaimObjects.RUN_CLAIM, requestId)
                            .handle((object, failure) -> afterRead(protocol, object, failure))
                            .thenCompose(next -> run(requestId, protocol, next));
            case CREATE, UPDATE ->
                    write(action)
                            .handle((object, failure) -> afterWrite(protocol, object, failure))
                            .thenCompose(next -> run(requestId, protocol, next));
        };
    }

    private CompletableFuture<ApiObject> write(ClaimAction action) {
        ApiObject object = ClaimObjects.toObject(action.claim());
        return action.type() == ClaimAction.Type.CREATE ? api.create(object) : api.update(object);
    }

    private static ClaimAction afterRead(
            ClaimProtocol protocol, ApiObject object, Throwable failure) {
        if (failure == null) {
            return protocol.onRead(ClaimObjects.fromObject(object));
        }
        boolean missing = kindOf(failure) == ObjectApiException.Kind.NOT_FOUND;
        return missing ? protocol.onMissing() : protocol.onReadFailed();
    }

    private static ClaimAction afterWrite(
            ClaimProtocol protocol, ApiObject object, Throwable failure) {
        if (failure == null) {
            return protocol.onWritten(ClaimObjects.fromObject(object));
        }
        return protocol.onWriteFailed(
                switch (kindOf(failure)) {
                    case CONFLICT, NOT_FOUND -> WriteFailure.CONFLICT;
                    case UNAVAILABLE -> WriteFailure.UNAVAILABLE;
                    default -> WriteFailure.OUTCOME_UNKNOWN;
                });
    }

    private static ObjectApiException.Kind kindOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ObjectApiException api
                ? api.kind()
                : ObjectApiException.Kind.OUTCOME_UNKNOWN;
    }
}
