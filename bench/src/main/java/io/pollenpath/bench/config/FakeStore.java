package io.pollenpath.bench.config;

import io.pollenpath.coordination.ConfigAgent;
import io.pollenpath.coordination.ConfigEntry;
import io.pollenpath.coordination.ConfigStore;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

/** Fake configuration store that answers in simulated time and counts the calls it receives. */
public final class FakeStore {

    private static final long MIN_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long MAX_LATENCY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int OBJECT_OVERHEAD_BYTES = 60;

    private final SimulatedClock time;
    private final RandomGenerator random;
    private final Map<String, Map<String, ConfigEntry>> objects = new HashMap<>();
    private final List<Client> clients = new ArrayList<>();
    private final Map<Long, Long> callsBySecond = new TreeMap<>();
    private long revision;
    private long calls;
    private boolean down;
    private double watchLossProbability;
    private int openWatches;
    private long watchTimeAddedUntilNanos;
    private double watchSeconds;

    /**
     * Creates an empty store.
     *
     * @param time the simulated time, not null
     * @param random the source of latencies and of lost watch events, not null
     */
    public FakeStore(SimulatedClock time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /**
     * Creates or replaces an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @param json the content of the object
     * @return the stored entry
     */
    public ConfigEntry put(String kind, String name, String json) {
        revision++;
        return apply(new ConfigEntry(kind, name, revision, false, json));
    }

    /**
     * Deletes an object.
     *
     * @param kind the kind of the object
     * @param name the name of the object
     * @return the deletion marker
     */
    public ConfigEntry delete(String kind, String name) {
        revision++;
        return apply(ConfigEntry.deletion(kind, name, revision));
    }

    private ConfigEntry apply(ConfigEntry entry) {
        Map<String, ConfigEntry> kindObjects = objectsOfKind(entry.kind());
        if (entry.deleted()) {
            kindObjects.remove(entry.name());
        } else {
            kindObjects.put(entry.name(), entry);
        }
        clients.forEach(client -> client.deliver(entry));
        return entry;
    }

    private Map<String, ConfigEntry> objectsOfKind(String kind) {
        return objects.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    /**
     * Returns the stored objects of a kind.
     *
     * @param kind the kind of the object
     * @return the objects, sorted by name
     */
    public Collection<ConfigEntry> stored(String kind) {
        return objectsOfKind(kind).values();
    }

    /**
     * Starts or ends an outage. The start of an outage closes every watch.
     *
     * @param newDown whether the store is down
     */
    public void setDown(boolean newDown) {
        down = newDown;
        if (newDown) {
            closeWatches();
        }
    }

    /** Closes every watch. */
    public void closeWatches() {
        clients.forEach(Client::closeWatches);
    }

    /**
     * Makes watches lose changes without closing them.
     *
     * @param probability the probability that a watch loses a change, 0 to 1
     */
    public void setWatchLossProbability(double probability) {
        watchLossProbability = probability;
    }

    /**
     * Simulates the restore of a backup: resets the revision and removes the objects whose last
     * write came after it. Open watches are not notified.
     *
     * @param oldRevision the revision of the backup
     */
    public void restore(long oldRevision) {
        revision = oldRevision;
        objects.values().forEach(map -> map.values().removeIf(e -> e.version() > oldRevision));
    }

    /**
     * Returns the current revision.
     *
     * @return the version of the latest write, or the revision set by a restore
     */
    public long revision() {
        return revision;
    }

    /** Resets the counts of calls and watch time to zero. */
    public void resetCounts() {
        calls = 0;
        watchSeconds = 0;
        watchTimeAddedUntilNanos = time.nowNanos();
        callsBySecond.clear();
    }

    /**
     * Returns the number of calls since the last reset, counting each second of an open watch as
     * one call.
     *
     * @return the number of calls
     */
    public double callsAndWatchSeconds() {
        addWatchSeconds();
        return calls + watchSeconds;
    }

    /**
     * Returns the highest number of calls received in one second, without the time of open watches.
     *
     * @return the number of calls
     */
    public long peakCallsPerSecond() {
        return callsBySecond.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /**
     * Returns the number of open watches.
     *
     * @return the number of watches
     */
    public int openWatches() {
        return openWatches;
    }

    private void addWatchSeconds() {
        double seconds = (time.nowNanos() - watchTimeAddedUntilNanos) / 1e9;
        watchSeconds += seconds * openWatches;
        watchTimeAddedUntilNanos = time.nowNanos();
    }

    private void countCall() {
        calls++;
        callsBySecond.merge(TimeUnit.NANOSECONDS.toSeconds(time.nowNanos()), 1L, Long::sum);
    }

    private long latencyNanos() {
        return random.nextLong(MIN_LATENCY_NANOS, MAX_LATENCY_NANOS);
    }

    /**
     * Connects a process to the store.
     *
     * @param onBytes receives the size of each object sent to the process, in bytes, not null
     * @return the client of that process
     */
    Client connect(LongConsumer onBytes) {
        Client client = new Client(onBytes);
        clients.add(client);
        return client;
    }

    /** The connection of one process to the store. */
    final class Client implements ConfigStore {
        private final LongConsumer onBytes;
        private final Map<String, Integer> watches = new HashMap<>();
        private ConfigAgent<?> agent;
        private int lastWatchId;
        private boolean stopped;

        Client(LongConsumer onBytes) {
            this.onBytes = onBytes;
        }

        void setAgent(ConfigAgent<?> newAgent) {
            agent = newAgent;
        }

        /** Disconnects the process. Nothing is delivered to it afterwards. */
        void stop() {
            stopWatches();
            stopped = true;
            clients.remove(this);
        }

        private void schedule(long delayNanos, Runnable action) {
            time.schedule(
                    delayNanos,
                    () -> {
                        if (!stopped) {
                            action.run();
                        }
                    });
        }

        @Override
        public void list(String kind) {
            countCall();
            if (down) {
                schedule(TIMEOUT_NANOS, () -> agent.onListFailed(time.nowNanos()));
                return;
            }
            List<ConfigEntry> listed = List.copyOf(objectsOfKind(kind).values());
            long listRevision = revision;
            listed.forEach(e -> onBytes.accept(e.json().length() + OBJECT_OVERHEAD_BYTES));
            schedule(
                    latencyNanos(),
                    () -> agent.onListed(kind, listed, listRevision, time.nowNanos()));
        }

        @Override
        public void watch(String kind, long fromRevision) {
            countCall();
            addWatchSeconds();
            lastWatchId++;
            if (watches.put(kind, lastWatchId) == null) {
                openWatches++;
            }
            if (down) {
                closeWatch(kind);
                return;
            }
            objectsOfKind(kind).values().stream()
                    .filter(entry -> entry.version() > fromRevision)
                    .forEach(this::deliver);
        }

        private void deliver(ConfigEntry entry) {
            Integer watchId = watches.get(entry.kind());
            if (watchId == null || random.nextDouble() < watchLossProbability) {
                return;
            }
            onBytes.accept(entry.json().length() + OBJECT_OVERHEAD_BYTES);
            schedule(
                    latencyNanos(),
                    () -> {
                        if (watchId.equals(watches.get(entry.kind()))) {
                            agent.onWatched(entry, time.nowNanos());
                        }
                    });
        }

        private void closeWatches() {
            List.copyOf(watches.keySet()).forEach(this::closeWatch);
        }

        private void closeWatch(String kind) {
            addWatchSeconds();
            watches.remove(kind);
            openWatches--;
            schedule(latencyNanos(), () -> agent.onWatchClosed(kind, time.nowNanos()));
        }

        @Override
        public void stopWatches() {
            addWatchSeconds();
            openWatches -= watches.size();
            watches.clear();
        }
    }
}
