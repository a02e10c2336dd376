package io.pollenpath.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Drives the listings and watches of the store by one process.
 *
 * <p>An attempt lists the kinds one after another, so that it costs a single call while the store
 * is down. A watching process lists each kind again at long random intervals, which recovers
 * changes that a watch has lost silently.
 */
final class StoreFollower {

    private static final long MIN_RELIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long MAX_RELIST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(90);
    private static final long MIN_REOPEN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_REOPEN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

    private enum State {
        IDLE,
        READING,
        WATCHING
    }

    private final List<String> kinds;
    private final ConfigStore store;
    private final RandomGenerator random;
    private final Map<String, Long> revisions = new HashMap<>();
    private final Map<String, Long> relistAtNanos = new HashMap<>();
    private State state = State.IDLE;

    StoreFollower(List<String> kinds, ConfigStore store, RandomGenerator random) {
        this.kinds = kinds;
        this.store = Objects.requireNonNull(store, "store");
        this.random = random;
    }

    boolean isIdle() {
        return state == State.IDLE;
    }

    boolean isWatching() {
        return state == State.WATCHING;
    }

    /** Starts an attempt, which lists every kind. */
    void startListing() {
        state = State.READING;
        revisions.clear();
        store.list(kinds.get(0));
    }

    /**
     * Handles a completed listing.
     *
     * @return true if this completes an attempt: every kind has been listed
     */
    boolean onListed(String kind, long revision, long nowNanos) {
        if (state == State.WATCHING) {
            store.watch(kind, revision);
            relistAtNanos.put(
                    kind,
                    nowNanos + randomBetween(MIN_RELIST_INTERVAL_NANOS, MAX_RELIST_INTERVAL_NANOS));
            return false;
        }
        if (state == State.IDLE || revisions.putIfAbsent(kind, revision) != null) {
            return false;
        }
        if (revisions.size() < kinds.size()) {
            store.list(kinds.get(revisions.size()));
            return false;
        }
        state = State.IDLE;
        return true;
    }

    /** Starts to watch every kind from the revisions listed by the attempt just completed. */
    void watch(long nowNanos) {
        state = State.WATCHING;
        for (String kind : kinds) {
            store.watch(kind, revisions.get(kind));
            relistAtNanos.put(
                    kind,
                    nowNanos + randomBetween(MIN_RELIST_INTERVAL_NANOS, MAX_RELIST_INTERVAL_NANOS));
        }
    }

    /**
     * Handles the end of a watch: lists the kind again soon, which also recovers missed changes.
     */
    void onWatchClosed(String kind, long nowNanos) {
        if (state == State.WATCHING) {
            relistAtNanos.put(
                    kind, nowNanos + randomBetween(MIN_REOPEN_DELAY_NANOS, MAX_REOPEN_DELAY_NANOS));
        }
    }

    /** Lists the kinds whose next listing is due. */
    void tick(long nowNanos) {
        if (state != State.WATCHING) {
            return;
        }
        for (String kind : kinds) {
            if (nowNanos - relistAtNanos.get(kind) >= 0) {
                relistAtNanos.put(kind, nowNanos + MAX_RELIST_INTERVAL_NANOS);
                store.list(kind);
            }
        }
    }

    /** Ends a running attempt and stops all watches. */
    void stop() {
        if (state == State.WATCHING) {
            store.stopWatches();
        }
        state = State.IDLE;
    }

    private long randomBetween(long minNanos, long maxNanos) {
        return random.nextLong(minNanos, maxNanos);
    }
}
