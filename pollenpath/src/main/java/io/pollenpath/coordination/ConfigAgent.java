package io.pollenpath.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Maintains the configuration of one process: decides when to query the store, merges what the
 * store and the peers deliver, and forwards changes to peers. Not thread-safe: all methods must be
 * called on the same thread.
 *
 * @param <P> identifies a peer
 */
public final class ConfigAgent<P> {

    private static final long DELETION_MARKER_RETENTION_NANOS = TimeUnit.HOURS.toNanos(24);
    private static final int MAX_DELETION_MARKERS = 4_096;
    private static final long ISOLATION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int MAX_SMALL_ZONE_PROCESSES = 8;

    /**
     * Sends messages to peers.
     *
     * @param <P> identifies a peer
     */
    @FunctionalInterface
    public interface Outbox<P> {

        /**
         * Sends a message; it may be lost.
         *
         * @param peer the peer, not null
         * @param message the message, not null
         */
        void send(P peer, ConfigMessage message);
    }

    private final ConfigAgentOptions options;
    private final Outbox<P> outbox;
    private final ConfigReplica replica;
    private final WatchElection election;
    private final StoreFollower follower;
    private final ConfigGossip<P> gossip;
    private final Map<String, Long> highestVersionAtListing = new HashMap<>();
    private final Runnable onChange;
    private final StoreConfirmation confirmation;
    private final ListingSchedule listingSchedule;
    private int zoneSize = 1;
    private long lastMessageNanos;
    private final Set<String> staleKinds = new HashSet<>();
    private boolean complete;

    /**
     * Creates an agent with an empty configuration.
     *
     * @param options the settings, not null
     * @param rule decides whether an entry replaces the held one, not null
     * @param store starts calls to the store, not null
     * @param outbox sends messages to peers, not null
     * @param onChange called after the configuration has changed, not null
     * @param random the source of random delays and of the random choice of peers, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public ConfigAgent(
            ConfigAgentOptions options,
            MergeRule rule,
            ConfigStore store,
            Outbox<P> outbox,
            Runnable onChange,
            RandomGenerator random,
            long nowNanos) {
        this.options = Objects.requireNonNull(options, "options");
        Objects.requireNonNull(random, "random");
        this.outbox = Objects.requireNonNull(outbox, "outbox");
        this.onChange = Objects.requireNonNull(onChange, "onChange");
        replica = new ConfigReplica(rule, DELETION_MARKER_RETENTION_NANOS, MAX_DELETION_MARKERS);
        election =
                new WatchElection(
                        options.process(),
                        options.zone(),
                        options.watchersPerZone(),
                        random,
                        nowNanos);
        follower = new StoreFollower(options.kinds(), new RecordingStore(store), random);
        gossip = new ConfigGossip<>(options.epoch(), replica, outbox, random, nowNanos);
        confirmation = new StoreConfirmation(nowNanos);
        listingSchedule = new ListingSchedule(random, nowNanos);
        lastMessageNanos = nowNanos;
    }

    /**
     * Sets the estimated number of processes in the zone.
     *
     * @param size the number of processes
     */
    public void setZoneSize(int size) {
        zoneSize = size;
        election.setZoneSize(size);
    }

    /**
     * Handles a link to a peer that has opened.
     *
     * @param peer the peer, not null
     */
    public void peerOpened(P peer) {
        gossip.peerOpened(peer);
    }

    /**
     * Handles a link to a peer that has closed.
     *
     * @param peer the peer, not null
     */
    public void peerClosed(P peer) {
        gossip.peerClosed(peer);
    }

    /**
     * Handles a message from a peer; messages of another epoch are ignored.
     *
     * @param peer the peer, not null
     * @param message the message, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onMessage(P peer, ConfigMessage message, long nowNanos) {
        if (message.epoch() != options.epoch()) {
            return;
        }
        lastMessageNanos = nowNanos;
        if (message instanceof ConfigMessage.Summary summary) {
            summary.watchers().forEach(sighting -> election.recordSighting(sighting, nowNanos));
            if (gossip.onSummary(peer, summary, nowNanos)) {
                complete |= gossip.isAgreed();
                replyIfUnconfirmed(peer, summary, nowNanos);
                confirmation.confirm(summary.confirmedAgeMs(), nowNanos);
            }
        } else if (message instanceof ConfigMessage.Pull pull) {
            gossip.onPull(peer, pull);
        } else if (message instanceof ConfigMessage.Push push) {
            publishChanges(gossip.onPush(peer, push, nowNanos), peer);
        }
    }

    private void replyIfUnconfirmed(P peer, ConfigMessage.Summary summary, long nowNanos) {
        boolean peerUnconfirmed = summary.confirmedAgeMs() == ConfigMessage.NEVER_MS;
        if (peerUnconfirmed && complete) {
            outbox.send(peer, summary(nowNanos));
        }
    }

    private void publishChanges(List<ConfigEntry> changes, P sender) {
        if (!changes.isEmpty()) {
            gossip.clearAgreement();
            onChange.run();
            gossip.pushChanges(changes, sender);
        }
    }

    /**
     * Handles a completed listing of the store.
     *
     * @param kind the kind, not null
     * @param entries the listed objects, not null
     * @param revision the revision of the listing
     * @param nowNanos the current time, in nanoseconds
     */
    public void onListed(String kind, List<ConfigEntry> entries, long revision, long nowNanos) {
        boolean stale = revision < highestVersionAtListing.getOrDefault(kind, 0L);
        publishChanges(replica.mergeListing(kind, entries, revision, nowNanos), null);
        if (stale) {
            staleKinds.add(kind);
        } else {
            staleKinds.remove(kind);
            confirmation.confirm(0, nowNanos);
        }
        election.attemptSucceeded();
        if (follower.onListed(kind, revision, nowNanos)) {
            complete = true;
            onChange.run();
            if (shouldKeepWatching(nowNanos)) {
                follower.watch(nowNanos);
            }
        }
    }

    private long highestVersion(String kind) {
        return replica.entries().stream()
                .filter(entry -> entry.kind().equals(kind))
                .mapToLong(ConfigEntry::version)
                .max()
                .orElse(0);
    }

    private boolean shouldKeepWatching(long nowNanos) {
        if (zoneSize <= MAX_SMALL_ZONE_PROCESSES) {
            return election.lacksWatchers(nowNanos);
        }
        return !isIsolated(nowNanos) && election.shouldAttempt(nowNanos);
    }

    /**
     * Handles a failed listing; a watching process stops watching.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onListFailed(long nowNanos) {
        follower.stop();
        election.attemptFailed(nowNanos);
    }

    /**
     * Handles a change that a watch has delivered.
     *
     * @param entry the changed object or deletion marker, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onWatched(ConfigEntry entry, long nowNanos) {
        confirmation.confirm(0, nowNanos);
        if (replica.merge(entry, nowNanos)) {
            publishChanges(List.of(entry), null);
        }
    }

    /**
     * Handles a bookmark of a watch, which confirms that the watch is up to date.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onBookmark(long nowNanos) {
        confirmation.confirm(0, nowNanos);
    }

    /**
     * Handles the end of a watch, including one that ended because of a gap in its history.
     *
     * @param kind the kind, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onWatchClosed(String kind, long nowNanos) {
        follower.onWatchClosed(kind, nowNanos);
    }

    /**
     * Performs the actions that are due; must be called several times a second.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void tick(long nowNanos) {
        if (follower.isIdle()) {
            if (shouldList(nowNanos)) {
                follower.startListing();
            }
        } else if (follower.isWatching() && election.shouldStepDown(nowNanos)) {
            follower.stop();
        }
        follower.tick(nowNanos);
        if (gossip.isRoundDue(nowNanos)) {
            replica.prune(nowNanos);
            gossip.sendSummaries(summary(nowNanos));
        }
    }

    private boolean shouldList(long nowNanos) {
        if (!listingSchedule.isFirstDone()) {
            return listingSchedule.isFirstDue(replica.revision() > 0, nowNanos);
        }
        if (gossip.pollUnresolved() && listingSchedule.isRepairAllowed(nowNanos)) {
            return true;
        }
        if (zoneSize > MAX_SMALL_ZONE_PROCESSES && isIsolated(nowNanos)) {
            return listingSchedule.isPollDue(nowNanos);
        }
        return election.shouldAttempt(nowNanos);
    }

    private boolean isIsolated(long nowNanos) {
        return nowNanos - lastMessageNanos >= ISOLATION_TIMEOUT_NANOS;
    }

    private ConfigMessage.Summary summary(long nowNanos) {
        List<WatcherSighting> watchers =
                new ArrayList<>(election.sightings(follower.isWatching(), nowNanos));
        return new ConfigMessage.Summary(
                options.epoch(),
                replica.revision(),
                replica.digest(),
                complete ? confirmedAgeMs(nowNanos) : ConfigMessage.NEVER_MS,
                watchers);
    }

    /**
     * Returns the held configuration.
     *
     * @return the replica, which callers must not modify
     */
    public ConfigReplica replica() {
        return replica;
    }

    /**
     * Returns whether the replica holds a complete configuration: every kind was listed from the
     * store, or several peers with a configuration confirmed by the store hold the same.
     *
     * @return true once the replica is complete; never false again
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns whether this process watches the store.
     *
     * @return true if this process is a watcher
     */
    public boolean isWatching() {
        return follower.isWatching();
    }

    /**
     * Returns whether the effective configuration comes from peers alone, without confirmation by a
     * listing or a watch of the store since this process started.
     *
     * @return true until the store has confirmed the configuration
     */
    public boolean isProvisional() {
        return !confirmation.isSinceStart();
    }

    /**
     * Returns the time since the store last confirmed the effective configuration.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the age in milliseconds, {@link ConfigMessage#NEVER_MS} if never confirmed
     */
    public long confirmedAgeMs(long nowNanos) {
        return confirmation.ageMs(nowNanos);
    }

    /**
     * Returns whether the store is behind the effective configuration, as after a restore from a
     * backup.
     *
     * @return true if the last listing of any kind was older than the configuration held when the
     *     listing started
     */
    public boolean isStoreBehind() {
        return !staleKinds.isEmpty();
    }

    /**
     * Records the highest held version of a kind when its listing starts, to detect a store that
     * was reset to an earlier state.
     */
    private final class RecordingStore implements ConfigStore {
        private final ConfigStore store;

        RecordingStore(ConfigStore store) {
            this.store = Objects.requireNonNull(store, "store");
        }

        @Override
        public void list(String kind) {
            highestVersionAtListing.put(kind, highestVersion(kind));
            store.list(kind);
        }

        @Override
        public void watch(String kind, long revision) {
            store.watch(kind, revision);
        }

        @Override
        public void stopWatches() {
            store.stopWatches();
        }
    }
}
