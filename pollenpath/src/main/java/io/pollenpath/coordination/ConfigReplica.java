package io.pollenpath.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * A replica of the configuration objects. Entries are merged by maximum version, and replicas are
 * compared by digests of their live objects.
 *
 * <p>A deleted object leaves a deletion marker, so that an older copy cannot restore it. Markers
 * are dropped when their retention time is over and, oldest first, when there are too many. The
 * highest version of the dropped markers of a kind is the floor of that kind: an unknown object at
 * or below the floor is rejected, unless it comes from a listing of the store.
 */
public final class ConfigReplica {

    /** Number of buckets into which entries are hashed; each bucket has its own digest. */
    public static final int BUCKETS = 64;

    private static final long MIX_A = 0xff51afd7ed558ccdL;
    private static final long MIX_B = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;
    private static final long HASH_SEED = 0xcbf29ce484222325L;
    private static final long HASH_PRIME = 0x100000001b3L;

    private final MergeRule rule;
    private final long markerRetentionNanos;
    private final int maxMarkers;
    private final Map<String, ConfigEntry> entries = new HashMap<>();
    private final Map<String, Long> markerTimesNanos = new LinkedHashMap<>();
    private final Map<String, Long> floors = new HashMap<>();
    private final long[] digests = new long[BUCKETS];
    private long revision;

    /**
     * Creates an empty replica.
     *
     * @param rule decides whether an entry replaces the held one, not null
     * @param markerRetentionNanos the retention time of deletion markers, in nanoseconds
     * @param maxMarkers the maximum number of deletion markers after {@link #prune}
     */
    public ConfigReplica(MergeRule rule, long markerRetentionNanos, int maxMarkers) {
        this.rule = Objects.requireNonNull(rule, "rule");
        this.markerRetentionNanos = markerRetentionNanos;
        this.maxMarkers = maxMarkers;
    }

    /**
     * Merges an entry from a peer or a watch if the merge rule accepts it.
     *
     * @param entry the entry, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if the replica has changed
     */
    public boolean merge(ConfigEntry entry, long nowNanos) {
        return merge(entry, floors.getOrDefault(entry.kind(), 0L), nowNanos);
    }

    /**
     * Merges a listing of the store. A held object that is not listed is replaced by a deletion
     * marker at the revision of the listing, unless the held version is newer than the listing.
     *
     * @param kind the listed kind, not null
     * @param listed the listed objects, not null
     * @param listingRevision the revision of the listing
     * @param nowNanos the current time, in nanoseconds
     * @return the entries that changed the replica
     */
    public List<ConfigEntry> mergeListing(
            String kind, Collection<ConfigEntry> listed, long listingRevision, long nowNanos) {
        List<ConfigEntry> changed = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ConfigEntry entry : listed) {
            names.add(entry.name());
            if (merge(entry, 0, nowNanos)) {
                changed.add(entry);
            }
        }
        for (ConfigEntry held : List.copyOf(entries.values())) {
            boolean missing = held.kind().equals(kind) && !names.contains(held.name());
            if (missing && !held.deleted()) {
                ConfigEntry marker = ConfigEntry.deletion(kind, held.name(), listingRevision);
                if (merge(marker, 0, nowNanos)) {
                    changed.add(marker);
                }
            }
        }
        return changed;
    }

    private boolean merge(ConfigEntry entry, long floor, long nowNanos) {
        ConfigEntry held = entries.get(entry.key());
        if (!rule.accepts(held, entry, floor)) {
            return false;
        }
        if (held != null) {
            updateDigest(held, -1);
        }
        entries.put(entry.key(), entry);
        updateDigest(entry, 1);
        markerTimesNanos.remove(entry.key());
        if (entry.deleted()) {
            markerTimesNanos.put(entry.key(), nowNanos);
        }
        revision = Math.max(revision, entry.version());
        return true;
    }

    private void updateDigest(ConfigEntry entry, int sign) {
        if (!entry.deleted()) {
            long hash = hash(entry.key());
            digests[bucket(hash)] += sign * mix(hash ^ mix(entry.version()));
        }
    }

    private static int bucket(long hash) {
        return (int) Long.remainderUnsigned(mix(hash), BUCKETS);
    }

    private static long hash(String key) {
        long hash = HASH_SEED;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * HASH_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> MIX_SHIFT)) * MIX_A;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_B;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }

    /**
     * Drops deletion markers that are too old or too many, and raises the floors accordingly.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void prune(long nowNanos) {
        Iterator<Map.Entry<String, Long>> oldestFirst = markerTimesNanos.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Long> marker = oldestFirst.next();
            boolean expired = nowNanos - marker.getValue() >= markerRetentionNanos;
            if (!expired && markerTimesNanos.size() <= maxMarkers) {
                return;
            }
            ConfigEntry dropped = entries.remove(marker.getKey());
            floors.merge(dropped.kind(), dropped.version(), Math::max);
            oldestFirst.remove();
        }
    }

    /**
     * Returns the held entry of a key.
     *
     * @param key the key of an entry, not null
     * @return the entry or deletion marker, null if none is held
     */
    public ConfigEntry find(String key) {
        return entries.get(key);
    }

    /**
     * Returns the held entries, including deletion markers.
     *
     * @return a live view of the entries
     */
    public Collection<ConfigEntry> entries() {
        return entries.values();
    }

    /**
     * Returns the entries, including deletion markers, of the given buckets.
     *
     * @param buckets the numbers of the buckets, not null
     * @return the entries
     */
    public List<ConfigEntry> entriesIn(Collection<Integer> buckets) {
        Set<Integer> selected = Set.copyOf(buckets);
        return entries.values().stream()
                .filter(entry -> selected.contains(bucket(hash(entry.key()))))
                .toList();
    }

    /**
     * Compares the bucket digests with those of another replica.
     *
     * @param others the bucket digests of the other replica, not null
     * @return the numbers of the buckets that differ
     */
    public List<Integer> differingBuckets(List<Long> others) {
        List<Integer> differing = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            if (i >= others.size() || others.get(i) != digests[i]) {
                differing.add(i);
            }
        }
        return differing;
    }

    /**
     * Returns the digests of all buckets.
     *
     * @return a copy, in the order of the buckets
     */
    public List<Long> bucketDigests() {
        List<Long> copy = new ArrayList<>();
        for (long digest : digests) {
            copy.add(digest);
        }
        return copy;
    }

    /**
     * Returns the digest of all live objects.
     *
     * @return the digest, 0 for an empty replica
     */
    public long digest() {
        long combined = 0;
        for (int i = 0; i < BUCKETS; i++) {
            combined += digests[i] == 0 ? 0 : mix(digests[i] + i);
        }
        return combined;
    }

    /**
     * Returns the highest version merged so far, over all kinds.
     *
     * @return the version, 0 for an empty replica
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the number of held deletion markers.
     *
     * @return the number of markers
     */
    public int markerCount() {
        return markerTimesNanos.size();
    }
}
