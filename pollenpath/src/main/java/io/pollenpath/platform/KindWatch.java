package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.util.GuardedSteps;
import io.pollenpath.util.LogLine;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Mirrors all objects of one kind of the store: lists them page by page, then long-polls for
 * changes, and lists them again when the store no longer has the history since the last known
 * revision or has come back from an older copy.
 */
final class KindWatch {

    private static final Logger LOG = LoggerFactory.getLogger(KindWatch.class);

    /** The store's answer to a watch from a revision that its history no longer covers. */
    private static final int STATUS_GONE = 410;

    private static final long CALL_TIMEOUT_MS = 1_000;

    /** How long the store waits for a change when it is to be found out whether it answers. */
    private static final long PROBE_WAIT_MS = 1;

    private static final long MIN_RETRY_MS = 100;
    private static final long MAX_RETRY_MS = 800;

    /** Spreads the lists of all processes after the store has come back from an older copy. */
    private static final long MAX_RELIST_DELAY_MS = 300;

    private final StoreClient store;
    private final String kind;
    private final long longPollMs;
    private final long coalesceMs;
    private final Listener listener;
    private final ScheduledExecutorService control;
    private final Map<String, StoredObject> objects = new HashMap<>();
    private Map<String, StoredObject> pendingObjects = new HashMap<>();
    private long pendingRevision;
    private long revision;
    private boolean initialListDone;
    private long retryMs = MIN_RETRY_MS;
    private boolean failing;
    private boolean stopped;
    private boolean olderCopy;

    /** Counts the restarts of this watch; what an earlier one has asked for is ignored. */
    private int generation;

    /** Receives the objects of the kind, on the control thread. */
    interface Listener {

        /**
         * Handles a change of the objects.
         *
         * @param objects all objects by name; the watch reuses the map, so copy it to keep it
         * @param gap what happened to the store since the last call
         */
        void onObjects(Map<String, StoredObject> objects, StoreGap gap);
    }

    /**
     * Creates a watch; it calls nothing before {@link #start}.
     *
     * @param store the store
     * @param kind the kind of the objects
     * @param longPollMs how long the store holds a watch call open when nothing changes, in
     *     milliseconds
     * @param coalesceMs the delay between an answer with changes and the next watch call, in
     *     milliseconds, so that a burst of changes takes few calls; 0 for no delay
     * @param control the thread that owns the state of this watch
     * @param listener receives the objects after each change
     */
    KindWatch(
            StoreClient store,
            String kind,
            long longPollMs,
            long coalesceMs,
            ScheduledExecutorService control,
            Listener listener) {
        this.store = store;
        this.kind = kind;
        this.longPollMs = longPollMs;
        this.coalesceMs = coalesceMs;
        this.control = control;
        this.listener = listener;
    }

    /** Starts watching. */
    void start() {
        store.era().onChange(() -> control.execute(this::onEraChange));
        control.execute(() -> list(""));
    }

    /** Stops watching; a call in progress may still notify the listener. */
    void stop() {
        control.execute(() -> stopped = true);
    }

    private void onEraChange() {
        if (stopped) {
            return;
        }
        generation++;
        olderCopy = true;
        LOG.info(
                "{}",
                LogLine.event("store_relisted")
                        .with("kind", kind)
                        .with("revision", revision)
                        .with("objects", objects.size()));
        long delayMs = ThreadLocalRandom.current().nextLong(MAX_RELIST_DELAY_MS);
        scheduleForGeneration(() -> list(""), delayMs);
    }

    private void list(String afterName) {
        if (stopped) {
            return;
        }
        int current = generation;
        if (afterName.isEmpty()) {
            pendingObjects = new HashMap<>();
        }
        store.list(kind, afterName, CALL_TIMEOUT_MS)
                .whenCompleteAsync(
                        (page, failure) ->
                                onAnswered(
                                        current, failure, () -> onPage(page, afterName.isEmpty())),
                        control);
    }

    /** Uses the answer to a call; one that can't be used counts as a call that failed. */
    private void onAnswered(int callGeneration, Throwable failure, Runnable use) {
        if (callGeneration != generation) {
            return;
        }
        if (failure == null) {
            GuardedSteps.run(use, this::onFailure);
        } else {
            onFailure(failure);
        }
    }

    private void onPage(JsonNode page, boolean firstPage) {
        if (firstPage) {
            pendingRevision = page.path("CurrentRev").asLong();
        }
        String lastName = "";
        for (JsonNode item : page.path("Items")) {
            lastName = item.path("Metadata").path("Name").asText(lastName);
            decode(item).ifPresent(object -> pendingObjects.put(object.name(), object));
        }
        if (page.path("HasMore").asBoolean() && !lastName.isEmpty()) {
            list(lastName);
            return;
        }
        objects.clear();
        objects.putAll(pendingObjects);
        revision = pendingRevision;
        initialListDone = true;
        onSuccess(true);
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        int current = generation;
        long waitMs = failing ? PROBE_WAIT_MS : longPollMs;
        long timeoutMs = failing ? CALL_TIMEOUT_MS : longPollMs + CALL_TIMEOUT_MS / 2;
        store.watch(kind, revision, waitMs, timeoutMs)
                .whenCompleteAsync(
                        (response, failure) ->
                                onAnswered(current, failure, () -> onEvents(response)),
                        control);
    }

    private void onEvents(JsonNode response) {
        boolean changed = false;
        for (JsonNode event : response.path("events")) {
            changed |= apply(event);
        }
        revision = Math.max(revision, response.path("CurrentRev").asLong(revision));
        onSuccess(changed);
        if (changed && coalesceMs > 0) {
            scheduleForGeneration(this::watch, coalesceMs);
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

    private void onSuccess(boolean changed) {
        if (failing) {
            LOG.info(
                    "{}",
                    LogLine.event("watch_goes_on").with("kind", kind).with("revision", revision));
        }
        failing = false;
        retryMs = MIN_RETRY_MS;
        if (changed) {
            StoreGap gap = new StoreGap(store.contact().latestOutage(), olderCopy);
            olderCopy = false;
            notifyListener(gap);
        }
    }

    /** Notifies the listener; its failure ends neither the watch nor the process. */
    private void notifyListener(StoreGap gap) {
        try {
            listener.onObjects(objects, gap);
        } catch (RuntimeException e) {
            LOG.error("{}", LogLine.event("objects_not_handled").with("kind", kind), e);
        }
    }

    private void onFailure(Throwable failure) {
        boolean historyExpired = StoreException.hasStatus(failure, STATUS_GONE);
        if (!failing) {
            LOG.warn(
                    "{}",
                    LogLine.event(historyExpired ? "store_history_gone" : "watch_failed")
                            .with("kind", kind)
                            .with("revision", revision)
                            .with("cause", StoreException.causeOf(failure)));
        }
        if (historyExpired) {
            list("");
            return;
        }
        failing = true;
        long delayMs = retryMs;
        retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
        boolean listNext = !initialListDone || olderCopy;
        scheduleForGeneration(listNext ? () -> list("") : this::watch, delayMs);
    }

    private void scheduleForGeneration(Runnable call, long delayMs) {
        int current = generation;
        control.schedule(
                () -> {
                    if (current == generation) {
                        call.run();
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }
}
