package io.pollenpath.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Distributes configuration between processes by gossip. Changes are pushed immediately to a few
 * random peers, and each process compares digests with a few random peers about once a second,
 * which repairs lost pushes.
 *
 * @param <P> identifies a peer
 */
final class ConfigGossip<P> {

    private static final int PUSH_FANOUT = 4;
    private static final int SUMMARY_FANOUT = 2;
    private static final int MAX_PUSHED_CHANGES = 32;
    private static final int BUCKETS_PER_PUSH = 8;
    private static final int MIN_AGREEING_PEERS = 3;
    private static final long ROUND_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long PULL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long UNRESOLVED_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Two digests that differed when a pull was sent. */
    private record Difference(long own, long other, long atNanos) {}

    private final long epoch;
    private final ConfigReplica replica;
    private final ConfigAgent.Outbox<P> outbox;
    private final RandomGenerator random;
    private final List<P> peers = new ArrayList<>();
    private final Set<P> agreeing = new HashSet<>();
    private long nextRoundNanos;
    private long lastPullNanos;
    private Difference lastDifference;
    private boolean unresolved;

    ConfigGossip(
            long epoch,
            ConfigReplica replica,
            ConfigAgent.Outbox<P> outbox,
            RandomGenerator random,
            long nowNanos) {
        this.epoch = epoch;
        this.replica = replica;
        this.outbox = outbox;
        this.random = random;
        nextRoundNanos = nowNanos + random.nextLong(ROUND_INTERVAL_NANOS);
        lastPullNanos = nowNanos - PULL_INTERVAL_NANOS;
    }

    void peerOpened(P peer) {
        peers.remove(peer);
        peers.add(peer);
    }

    void peerClosed(P peer) {
        peers.remove(peer);
        agreeing.remove(peer);
    }

    /** Returns whether the next round of summaries is due, and schedules the one after it. */
    boolean isRoundDue(long nowNanos) {
        if (nowNanos - nextRoundNanos < 0) {
            return false;
        }
        nextRoundNanos =
                nowNanos + random.nextLong(ROUND_INTERVAL_NANOS / 2, ROUND_INTERVAL_NANOS * 3 / 2);
        return true;
    }

    void sendSummaries(ConfigMessage.Summary summary) {
        for (P peer : sample(SUMMARY_FANOUT, null)) {
            outbox.send(peer, summary);
        }
    }

    /** Pushes changes to a few peers; a long list is left to the comparison of digests. */
    void pushChanges(List<ConfigEntry> changes, P sender) {
        if (changes.isEmpty() || changes.size() > MAX_PUSHED_CHANGES) {
            return;
        }
        ConfigMessage push = new ConfigMessage.Push(epoch, changes, List.of());
        for (P peer : sample(PUSH_FANOUT, sender)) {
            outbox.send(peer, push);
        }
    }

    private List<P> sample(int count, P excluded) {
        List<P> chosen = new ArrayList<>();
        int maxDraws = count * 2;
        for (int i = 0; i < maxDraws && chosen.size() < count && !peers.isEmpty(); i++) {
            P peer = peers.get(random.nextInt(peers.size()));
            if (!peer.equals(excluded) && !chosen.contains(peer)) {
                chosen.add(peer);
            }
        }
        return chosen;
    }

    /**
     * Handles the summary of a peer and pulls from the peer if the digests differ.
     *
     * @return true if both replicas hold the same live objects
     */
    boolean onSummary(P peer, ConfigMessage.Summary summary, long nowNanos) {
        long own = replica.digest();
        if (own == summary.digest()) {
            if (summary.confirmedAgeMs() != ConfigMessage.NEVER_MS) {
                agreeing.add(peer);
            }
            return true;
        }
        if (lastDifference != null
                && lastDifference.own() == own
                && lastDifference.other() == summary.digest()) {
            unresolved |= nowNanos - lastDifference.atNanos() >= UNRESOLVED_TIMEOUT_NANOS;
        }
        if (nowNanos - lastPullNanos >= PULL_INTERVAL_NANOS) {
            lastPullNanos = nowNanos;
            if (lastDifference == null
                    || lastDifference.own() != own
                    || lastDifference.other() != summary.digest()) {
                lastDifference = new Difference(own, summary.digest(), nowNanos);
            }
            outbox.send(peer, new ConfigMessage.Pull(epoch, replica.bucketDigests()));
        }
        return false;
    }

    /**
     * Returns whether enough peers with a configuration confirmed by the store hold the same as
     * this process. Several are required, so that a starting process does not accept the
     * configuration of a single lagging peer.
     */
    boolean isAgreed() {
        return !agreeing.isEmpty() && agreeing.size() >= Math.min(MIN_AGREEING_PEERS, peers.size());
    }

    /** Clears the set of agreeing peers; must be called after the replica has changed. */
    void clearAgreement() {
        agreeing.clear();
    }

    /** Returns whether a difference has outlasted a pull, and resets this flag. */
    boolean pollUnresolved() {
        boolean result = unresolved;
        unresolved = false;
        return result;
    }

    /** Answers a pull with the entries of the buckets that differ. */
    void onPull(P peer, ConfigMessage.Pull pull) {
        List<Integer> differing = replica.differingBuckets(pull.bucketDigests());
        for (int from = 0; from < differing.size(); from += BUCKETS_PER_PUSH) {
            int to = Math.min(from + BUCKETS_PER_PUSH, differing.size());
            List<Integer> buckets = differing.subList(from, to);
            outbox.send(peer, new ConfigMessage.Push(epoch, replica.entriesIn(buckets), buckets));
        }
    }

    /**
     * Merges pushed entries, and pushes back the entries that the sender lacks or holds in an older
     * version.
     *
     * @return the entries that changed this replica
     */
    List<ConfigEntry> onPush(P peer, ConfigMessage.Push push, long nowNanos) {
        List<ConfigEntry> changed = new ArrayList<>();
        Map<String, Long> versions = new HashMap<>();
        List<ConfigEntry> candidates = new ArrayList<>(replica.entriesIn(push.buckets()));
        for (ConfigEntry entry : push.entries()) {
            versions.put(entry.key(), entry.version());
            if (replica.merge(entry, nowNanos)) {
                changed.add(entry);
            } else if (push.buckets().isEmpty() && replica.find(entry.key()) != null) {
                candidates.add(replica.find(entry.key()));
            }
        }
        pushNewer(peer, candidates, versions);
        return changed;
    }

    private void pushNewer(P peer, Collection<ConfigEntry> held, Map<String, Long> versions) {
        List<ConfigEntry> newer =
                held.stream()
                        .filter(e -> e.version() > versions.getOrDefault(e.key(), 0L))
                        .toList();
        if (!newer.isEmpty()) {
            outbox.send(peer, new ConfigMessage.Push(epoch, newer, List.of()));
        }
    }
}
