package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.state.serving.EntryInstance;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.util.Json;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Registers this entry in the store and decodes the registrations of all entries. */
final class EntryDirectory {

    private static final Logger LOG = LoggerFactory.getLogger(EntryDirectory.class);
    private static final String ADDRESS = "Address";
    private static final long CALL_TIMEOUT_MS = 1_000;
    private static final long RETRY_DELAY_MS = 1_000;
    private static final int STATUS_CONFLICT = 409;

    private final StoreClient store;
    private final ScheduledExecutorService control;
    private final String name;
    private volatile boolean withdrawn;

    EntryDirectory(StoreClient store, ScheduledExecutorService control, String name) {
        this.store = store;
        this.control = control;
        this.name = name;
    }

    /**
     * Registers this entry, with retries until the store has the registration, and again each time
     * the store comes back from an older copy. A registration that an earlier process left behind
     * is replaced.
     *
     * @param address where this entry receives calls of other entries
     */
    void register(HttpAddress address) {
        store.era().onChange(() -> RegistrationDelay.schedule(control, () -> write(address)));
        write(address);
    }

    private void write(HttpAddress address) {
        if (withdrawn) {
            return;
        }
        ObjectNode spec = Json.object().put(ADDRESS, address.toString());
        store.create(StoreKinds.ENTRIES, name, spec, CALL_TIMEOUT_MS)
                .handle((created, failure) -> overwriteOnConflict(spec, created, failure))
                .thenCompose(written -> written)
                .whenCompleteAsync((written, failure) -> onRegistered(address, failure), control);
    }

    private CompletableFuture<JsonNode> overwriteOnConflict(
            ObjectNode spec, JsonNode created, Throwable failure) {
        if (failure == null) {
            return CompletableFuture.completedFuture(created);
        }
        return StoreException.hasStatus(failure, STATUS_CONFLICT)
                ? store.overwrite(StoreKinds.ENTRIES, name, spec, CALL_TIMEOUT_MS)
                : CompletableFuture.failedFuture(failure);
    }

    private void onRegistered(HttpAddress address, Throwable failure) {
        if (failure == null || withdrawn) {
            return;
        }
        LOG.info("{}", LogLine.event("announce_failed").with("cause", failure));
        control.schedule(() -> write(address), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /** Removes the registration of this entry. */
    void withdraw() {
        withdrawn = true;
        store.delete(StoreKinds.ENTRIES, name, CALL_TIMEOUT_MS)
                .whenComplete(
                        (deleted, failure) ->
                                LOG.info(
                                        "{}",
                                        LogLine.event("announcement_withdrawn")
                                                .with("failure", failure)));
    }

    /** Decodes the registrations of all entries; one without a valid address receives no calls. */
    static List<EntryInstance> decode(Map<String, StoredObject> objects) {
        List<EntryInstance> entries = new ArrayList<>();
        for (StoredObject object : objects.values()) {
            entries.add(new EntryInstance(object.name(), addressOf(object)));
        }
        return entries;
    }

    private static String addressOf(StoredObject object) {
        String text = object.spec().path(ADDRESS).asText("");
        if (text.isEmpty()) {
            return "";
        }
        try {
            return HttpAddress.parse(text).toString();
        } catch (IllegalArgumentException e) {
            LOG.warn(
                    "{}",
                    LogLine.event("entry_address_skipped")
                            .with("entry", object.name())
                            .with("cause", e.getMessage()));
            return "";
        }
    }
}
