package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.LogLine;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows all objects of one kind: lists them page by page, then waits for changes, and lists them
 * anew when the store no longer has the history in between.
 */
final class KindWatch {

    private static final Logger LOG = LoggerFactory.getLogger(KindWatch.class);

    /** What the history lacks. */
    private static final int STATUS_GONE = 410;

    private static final long CALL_TIMEOUT_MS = 1_000;
    private static final long MIN_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 800;

    private final StoreClient store;
    private final String kind;
    private final long waitMs;
    private final long gatherMs;
    private final Listener listener;
    private final ScheduledExecutorService control;
    private final Map<String, StoredObject> objects = new HashMap<>();
    private Map<String, StoredObject> listing = new HashMap<>();
    private long listingRevision;
    private long revision;
    private boolean listed;
    private long retryMs = MIN_RETRY_MS;
    private long lastContactNanos;
    private boolean lost;
    private boolean stopped;

    /** Takes what the watch learns, on the control thread. */
    interface Listener {

        /**
         * Takes all objects after something has changed.
         *
         * @param objects the objects by name; copied if kept
         * @param awayMs for how long the store could not be reached just before, in milliseconds
         */
        void onObjects(Map<String, StoredObject> objects, long awayMs);
    }

    /**
     * Creates a watch; nothing is called before {@link #start}.
     *
     * @param store the store
     * @param kind the kind
     * @param waitMs how long the store holds a call without changes, in milliseconds
     * @param gatherMs how long after a change the store is asked for the next ones, in
     *     milliseconds, so that many changes at a time make few calls
     * @param control the thread that owns the state
     * @param listener takes what is learnt
     */
    KindWatch(
            StoreClient store,
            String kind,
            long waitMs,
            long gatherMs,
            ScheduledExecutorService control,
            Listener listener) {
        this.store = store;
        this.kind = kind;
        this.waitMs = waitMs;
        this.gatherMs = gatherMs;
        this.control = control;
        this.listener = listener;
    }

    /** Begins to follow the kind. */
    void start() {
        lastContactNanos = System.nanoTime();
        control.execute(() -> list(""));
    }

    /** Ends following the kind. */
    void stop() {
        control.execute(() -> stopped = true);
    }

    private void list(String after) {
        if (stopped) {
            return;
        }
        if (after.isEmpty()) {
            listing = new HashMap<>();
        }
        store.list(kind, after, CALL_TIMEOUT_MS)
                .whenCompleteAsync(
                        (page, failure) -> {
                            if (failure == null) {
                                onPage(page, after.isEmpty());
                            } else {
                                onFailure(failure);
                            }
                        },
                        control);
    }

    private void onPage(JsonNode page, boolean first) {
        if (first) {
            listingRevision = page.path("CurrentRev").asLong();
        }
        String last = "";
        for (JsonNode item : page.path("Items")) {
            last = item.path("Metadata").path("Name").asText(last);
            decode(item).ifPresent(object -> listing.put(object.name(), object));
        }
        if (page.path("HasMore").asBoolean() && !last.isEmpty()) {
            list(last);
            return;
        }
        objects.clear();
        objects.putAll(listing);
        revision = listingRevision;
        listed = true;
        onContact(true);
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        store.watch(kind, revision, waitMs, waitMs + CALL_TIMEOUT_MS / 2)
                .whenCompleteAsync(
                        (answer, failure) -> {
                            if (failure == null) {
                                onEvents(answer);
                            } else {
                                onFailure(failure);
                            }
                        },
                        control);
    }

    private void onEvents(JsonNode answer) {
        boolean changed = false;
        for (JsonNode event : answer.path("events")) {
            changed |= apply(event);
        }
        revision = Math.max(revision, answer.path("CurrentRev").asLong(revision));
        onContact(changed);
        if (changed && gatherMs > 0) {
            control.schedule(this::watch, gatherMs, TimeUnit.MILLISECONDS);
        } else {
            watch();
        }
    }

    private boolean apply(JsonNode event) {
        Optional<StoredObject> decoded = decode(event.path("Object"));
        if (decoded.isEmpty()) {
            return false;
        }
        StoredObject object = decoded.get();
        StoredObject known = objects.get(object.name());
        if (known != null && known.revision() > object.revision()) {
            return false;
        }
        if (event.path("Deleted").asBoolean()) {
            objects.remove(object.name());
        } else {
            objects.put(object.name(), object);
        }
        return true;
    }

    private Optional<StoredObject> decode(JsonNode item) {
        try {
            return Optional.of(StoredObject.decode(item));
        } catch (IllegalArgumentException e) {
            LOG.warn(
                    "{}",
                    LogLine.event("stored_object_skipped").with("kind", kind).with("cause", e));
            return Optional.empty();
        }
    }

    private void onContact(boolean changed) {
        long nowNanos = System.nanoTime();
        long awayMs = lost ? TimeUnit.NANOSECONDS.toMillis(nowNanos - lastContactNanos) : 0;
        if (lost) {
            LOG.info(
                    "{}",
                    LogLine.event("store_regained")
                            .with("kind", kind)
                            .with("revision", revision)
                            .with("away_ms", awayMs));
        }
        lost = false;
        retryMs = MIN_RETRY_MS;
        lastContactNanos = nowNanos;
        if (changed) {
            listener.onObjects(objects, awayMs);
        }
    }

    private void onFailure(Throwable failure) {
        boolean gone = StoreException.hasStatus(failure, STATUS_GONE);
        if (!lost) {
            LOG.warn(
                    "{}",
                    LogLine.event(gone ? "store_history_gone" : "store_lost")
                            .with("kind", kind)
                            .with("revision", revision)
                            .with("cause", StoreException.causeOf(failure)));
        }
        if (gone) {
            list("");
            return;
        }
        lost = true;
        long delayMs = retryMs;
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
        control.schedule(listed ? this::watch : () -> list(""), delayMs, TimeUnit.MILLISECONDS);
    }
}
