package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.coordination.group.SlowdownNotices;
import io.pollenpath.coordination.serving.SlowdownReport;
import io.pollenpath.state.group.RankStatus;
import io.pollenpath.state.serving.EntryInstance;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.serving.EntryNotifier;
import io.pollenpath.util.LogLine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the entries while the engine on this VM is slow. The entries are read from the store only
 * then, and again after a while.
 */
final class SlowdownNotifier {

    private static final Logger LOG = LoggerFactory.getLogger(SlowdownNotifier.class);
    private static final long ENTRIES_REFRESH_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long CALL_TIMEOUT_MS = 1_000;

    private final StoreClient store;
    private final EntryNotifier notifier;
    private final String engine;
    private final Executor control;
    private final SlowdownNotices notices = new SlowdownNotices();
    private List<EntryInstance> entries = List.of();
    private long entriesReadNanos;

    /**
     * Creates a notifier.
     *
     * @param store the store with the registrations of entries
     * @param notifier sends the reports
     * @param engine the address at which entries know the engine
     * @param control the thread that owns the state of this object
     */
    SlowdownNotifier(
            StoreClient store, EntryNotifier notifier, HttpAddress engine, Executor control) {
        this.store = store;
        this.notifier = notifier;
        this.engine = engine.toString();
        this.control = control;
    }

    /** Handles a status of the engine; may be called on any thread. */
    void onStatus(RankStatus status) {
        control.execute(() -> onSlowdown(status.slowdown(), System.nanoTime()));
    }

    private void onSlowdown(double slowdown, long nowNanos) {
        notices.onReport(slowdown, nowNanos)
                .ifPresent(factor -> tell(new SlowdownReport(engine, factor), nowNanos));
    }

    private void tell(SlowdownReport report, long nowNanos) {
        LOG.info(
                "{}",
                LogLine.event("engine_slowdown")
                        .with("engine", engine)
                        .with("factor", report.factor()));
        if (!entries.isEmpty() && nowNanos - entriesReadNanos < ENTRIES_REFRESH_NANOS) {
            notifier.tell(entries, report);
            return;
        }
        entriesReadNanos = nowNanos;
        store.list(StoreKinds.ENTRIES, "", CALL_TIMEOUT_MS)
                .whenCompleteAsync((page, failure) -> onEntries(page, failure, report), control);
    }

    private void onEntries(JsonNode page, Throwable failure, SlowdownReport report) {
        if (failure == null) {
            entries = EntryDirectory.decode(decode(page));
        } else {
            LOG.info("{}", LogLine.event("entries_not_read").with("cause", failure));
        }
        notifier.tell(entries, report);
    }

    private static Map<String, StoredObject> decode(JsonNode page) {
        Map<String, StoredObject> objects = new HashMap<>();
        for (JsonNode item : page.path("Items")) {
            try {
                StoredObject object = StoredObject.decode(item);
                objects.put(object.name(), object);
            } catch (IllegalArgumentException e) {
                LOG.warn("{}", LogLine.event("stored_object_skipped").with("cause", e));
            }
        }
        return objects;
    }
}
