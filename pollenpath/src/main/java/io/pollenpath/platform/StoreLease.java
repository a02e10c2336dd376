package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.group.LeaderLease;
import io.pollenpath.util.Json;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the leader of each rank group in one object of the store. The revision of the write that
 * names a new leader is the leader's fencing token. Each write is conditional on the revision that
 * was read before, so that only one of several concurrent claims succeeds.
 */
final class StoreLease implements LeaderLease {

    private static final String HOLDER = "Holder";
    private static final int STATUS_NOT_FOUND = 404;
    private static final long CALL_TIMEOUT_MS = 600;

    private final StoreClient store;

    StoreLease(StoreClient store) {
        this.store = store;
    }

    @Override
    public CompletableFuture<Long> claim(String group, String holder) {
        return store.read(StoreKinds.LEASES, group, CALL_TIMEOUT_MS)
                .handle(
                        (object, failure) -> {
                            if (failure == null) {
                                return replaceHolder(group, holder, object);
                            }
                            return StoreException.hasStatus(failure, STATUS_NOT_FOUND)
                                    ? store.create(
                                            StoreKinds.LEASES, group, spec(holder), CALL_TIMEOUT_MS)
                                    : CompletableFuture.<JsonNode>failedFuture(failure);
                        })
                .thenCompose(written -> written)
                .thenApply(StoreLease::revision);
    }

    private CompletableFuture<JsonNode> replaceHolder(
            String group, String holder, JsonNode object) {
        boolean alreadyHeld = object.path("Spec").path(HOLDER).asText("").equals(holder);
        if (alreadyHeld) {
            // An earlier claim of this process was stored, but the store's answer was lost.
            return CompletableFuture.completedFuture(object);
        }
        return store.replace(
                StoreKinds.LEASES, group, spec(holder), revision(object), CALL_TIMEOUT_MS);
    }

    private static ObjectNode spec(String holder) {
        return Json.object().put(HOLDER, holder);
    }

    private static long revision(JsonNode object) {
        long revision = object.path("Metadata").path("Revision").asLong(0);
        if (revision <= 0) {
            throw new IllegalStateException("the store returned a lease without a revision");
        }
        return revision;
    }
}
