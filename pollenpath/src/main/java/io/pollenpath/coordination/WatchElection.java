package io.pollenpath.coordination;

import io.pollenpath.util.Digests;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides whether this process should watch the store, without a lease.
 *
 * <p>Sightings of watchers spread by gossip. While its zone has fewer live watchers than the
 * target, a process attempts to become one after a random delay. The mean delay is proportional to
 * the number of processes in the zone, so that the whole zone makes about one attempt a second. A
 * failed attempt is followed by an exponential backoff. Surplus watchers step down; those whose
 * names have the lowest hashes remain.
 */
public final class WatchElection {

    private static final long SIGHTING_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(12);
    private static final long STEP_DOWN_DELAY_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long ATTEMPT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MIN_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int MAX_BACKOFF_SHIFT = 5;

    private record LastSighting(String zone, long seenAtNanos) {}

    private final String process;
    private final String zone;
    private final int targetWatchers;
    private final RandomGenerator random;
    private final Map<String, LastSighting> watchers = new HashMap<>();
    private int zoneSize = 1;
    private int consecutiveFailures;
    private boolean attemptScheduled;
    private long nextAttemptNanos;
    private long backoffUntilNanos;
    private boolean surplus;
    private long surplusSinceNanos;

    /**
     * Creates an election without known watchers.
     *
     * @param process the unique name of this process, not null
     * @param zone the availability zone of this process, not null
     * @param targetWatchers the target number of watchers in the zone
     * @param random the source of random delays, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public WatchElection(
            String process,
            String zone,
            int targetWatchers,
            RandomGenerator random,
            long nowNanos) {
        this.process = Objects.requireNonNull(process, "process");
        this.zone = Objects.requireNonNull(zone, "zone");
        this.targetWatchers = targetWatchers;
        this.random = Objects.requireNonNull(random, "random");
        backoffUntilNanos = nowNanos;
    }

    /**
     * Sets the estimated number of processes in the zone. If it has grown, the next attempt is
     * rescheduled.
     *
     * @param size the number of processes; a number below 1 counts as 1
     */
    public void setZoneSize(int size) {
        attemptScheduled &= size <= zoneSize;
        zoneSize = Math.max(1, size);
    }

    /**
     * Records a sighting of a watcher; a sighting of this process itself is ignored.
     *
     * @param sighting the watcher and the age of the sighting, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void recordSighting(WatcherSighting sighting, long nowNanos) {
        if (sighting.process().equals(process)) {
            return;
        }
        long seenAtNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(sighting.ageMs());
        LastSighting known = watchers.get(sighting.process());
        if (known == null || seenAtNanos - known.seenAtNanos() > 0) {
            watchers.put(sighting.process(), new LastSighting(sighting.zone(), seenAtNanos));
        }
    }

    /**
     * Returns the live watchers of all zones.
     *
     * @param watching whether this process watches the store
     * @param nowNanos the current time, in nanoseconds
     * @return the watchers, including this process if it watches
     */
    public List<WatcherSighting> sightings(boolean watching, long nowNanos) {
        watchers.values()
                .removeIf(last -> nowNanos - last.seenAtNanos() >= SIGHTING_LIFETIME_NANOS);
        List<WatcherSighting> live = new ArrayList<>();
        watchers.forEach(
                (name, last) -> {
                    long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - last.seenAtNanos());
                    live.add(new WatcherSighting(name, last.zone(), ageMs));
                });
        if (watching) {
            live.add(new WatcherSighting(process, zone, 0));
        }
        return live;
    }

    private long liveInZone(long nowNanos) {
        return sightings(false, nowNanos).stream().filter(s -> s.zone().equals(zone)).count();
    }

    /**
     * Returns whether fewer live watchers of the zone are known than the target.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if another watcher is needed
     */
    public boolean lacksWatchers(long nowNanos) {
        return liveInZone(nowNanos) < targetWatchers;
    }

    /**
     * Returns whether this process should attempt to become a watcher now.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if an attempt is due
     */
    public boolean shouldAttempt(long nowNanos) {
        if (!lacksWatchers(nowNanos)) {
            attemptScheduled = false;
            return false;
        }
        if (!attemptScheduled) {
            attemptScheduled = true;
            scheduleAttempt(nowNanos);
        }
        return nowNanos - nextAttemptNanos >= 0 && nowNanos - backoffUntilNanos >= 0;
    }

    private void scheduleAttempt(long nowNanos) {
        double mean = (double) zoneSize * ATTEMPT_INTERVAL_NANOS;
        nextAttemptNanos = nowNanos + (long) (random.nextExponential() * mean);
    }

    /**
     * Handles a failed attempt to reach the store: starts a backoff and schedules the next attempt.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void attemptFailed(long nowNanos) {
        long maxBackoffNanos =
                MIN_BACKOFF_NANOS << Math.min(consecutiveFailures, MAX_BACKOFF_SHIFT);
        consecutiveFailures++;
        backoffUntilNanos = nowNanos + random.nextLong(maxBackoffNanos / 2, maxBackoffNanos);
        scheduleAttempt(nowNanos);
    }

    /** Handles a successful attempt to reach the store: resets the backoff. */
    public void attemptSucceeded() {
        consecutiveFailures = 0;
    }

    /**
     * Returns whether this process, which watches, should step down because enough other watchers
     * of its zone precede it in the order of name hashes.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if this process should stop watching
     */
    public boolean shouldStepDown(long nowNanos) {
        long preceding =
                sightings(false, nowNanos).stream()
                        .filter(s -> s.zone().equals(zone) && precedes(s.process()))
                        .count();
        if (preceding < targetWatchers) {
            surplus = false;
            return false;
        }
        if (!surplus) {
            surplus = true;
            surplusSinceNanos = nowNanos;
        }
        return nowNanos - surplusSinceNanos >= STEP_DOWN_DELAY_NANOS;
    }

    private boolean precedes(String other) {
        long otherHash = Digests.hash64(other);
        long ownHash = Digests.hash64(process);
        return otherHash == ownHash ? other.compareTo(process) < 0 : otherHash < ownHash;
    }
}
