package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.group.LeaderLease;
import io.pollenpath.util.Json;
import java.util.concurrent.CompletableFuture;

/**
 * Stores the leader of each rank group in one object of the store. The revision of the write that
 * names a new leader, raised by the era of the store, is the leader's fencing token: a store that
 * comes back from an older copy gives out revisions again, but in a later era. Each write is
 * conditional on the revision that was read before, so that only one of several concurrent claims
 * succeeds.
 */
final class StoreLease implements LeaderLease {

    private static final String HOLDER = "Holder";
    private static final long NO_TOKEN = 0;
    private static final int STATUS_NOT_FOUND = 404;
    private static final long CALL_TIMEOUT_MS = 600;

    /** How much the era raises a token; far above the revisions that a store can lose. */
    static final long REVISIONS_PER_ERA = 1L << 24;

    private final StoreClient store;

    StoreLease(StoreClient store) {
        this.store = store;
    }

    @Override
    public CompletableFuture<Long> currentToken(String group) {
        return store.read(StoreKinds.LEASES, group, CALL_TIMEOUT_MS)
                .handle(
                        (object, failure) -> {
                            if (failure == null) {
                                return CompletableFuture.completedFuture(token(object));
                            }
                            return StoreException.hasStatus(failure, STATUS_NOT_FOUND)
                                    ? CompletableFuture.completedFuture(NO_TOKEN)
                                    : CompletableFuture.<Long>failedFuture(failure);
                        })
                .thenCompose(token -> token);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A claim whose answer was lost is found by the next one: replacing a holder by itself
     * leaves the revision as it is.
     */
    @Override
    public CompletableFuture<Long> claim(String group, String holder, long replacedToken) {
        int changesBefore = store.era().changeCount();
        long replacedRevision = replacedToken - store.era().current() * REVISIONS_PER_ERA;
        if (replacedToken != NO_TOKEN && replacedRevision <= 0) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException(
                            "the replaced token is from before the store came back from a copy; read it again"));
        }
        CompletableFuture<JsonNode> written =
                replacedToken == NO_TOKEN
                        ? store.create(StoreKinds.LEASES, group, spec(holder), CALL_TIMEOUT_MS)
                        : store.replace(
                                StoreKinds.LEASES,
                                group,
                                spec(holder),
                                replacedRevision,
                                CALL_TIMEOUT_MS);
        return written.thenApply(object -> tokenUnlessChanged(object, changesBefore));
    }

    /** Returns the token of a claim; fails if the store has come back from a copy meanwhile. */
    private long tokenUnlessChanged(JsonNode object, int changesBefore) {
        if (store.era().changeCount() != changesBefore) {
            throw new IllegalStateException("the store came back from a copy during the claim");
        }
        return token(object);
    }

    private static ObjectNode spec(String holder) {
        return Json.object().put(HOLDER, holder);
    }

    private long token(JsonNode object) {
        long revision = object.path("Metadata").path("Revision").asLong(0);
        if (revision <= 0) {
            throw new IllegalStateException("the store returned a lease without a revision");
        }
        return store.era().current() * REVISIONS_PER_ERA + revision;
    }
}
