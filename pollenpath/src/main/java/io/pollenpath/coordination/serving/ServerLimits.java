package io.pollenpath.coordination.serving;

import io.pollenpath.coordination.limits.TokenBucket;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps the rates of requests that servers in need take from all entries together. Each entry sends
 * its {@linkplain EntryShare share} of the rate. What the latest answer of a server says holds,
 * whichever entry got it.
 */
public final class ServerLimits {

    /**
     * The lowest rate that is applied, in requests a second. Only an answer can tell that a limit
     * no longer holds, so a server that names less still gets a request now and then.
     */
    static final double MIN_PER_SECOND = 0.2;

    /** The burst beyond one request, as the time over which the share accrues, in seconds. */
    private static final double BURST_S = 0.25;

    /** A change of a limit by less than this fraction is not worth telling other entries. */
    private static final double SIGNIFICANT_CHANGE = 0.05;

    private final String ownName;
    private final RandomGenerator random;
    private final Map<String, State> states = new HashMap<>();
    private Set<String> entries = Set.of();

    /** What is known of one server. */
    private static final class State {

        private final TokenBucket bucket;
        private OptionalDouble perSecond = OptionalDouble.empty();
        private double ownPerSecond;
        private long learnedNanos;

        private State(TokenBucket bucket) {
            this.bucket = bucket;
        }
    }

    /**
     * Creates limits without any server.
     *
     * @param ownName the name of this entry, not null
     * @param random the source of random choices, not null
     */
    public ServerLimits(String ownName, RandomGenerator random) {
        this.ownName = ownName;
        this.random = random;
        setEntries(List.of());
    }

    /**
     * Replaces the entries that share the limits; this entry is always one of them.
     *
     * @param names the names of the running entries, not null
     */
    public void setEntries(Collection<String> names) {
        Set<String> all = new TreeSet<>(names);
        all.add(ownName);
        if (!all.equals(entries)) {
            entries = all;
            states.forEach(this::updateShare);
        }
    }

    private void updateShare(String serverId, State state) {
        double total = Math.max(MIN_PER_SECOND, state.perSecond.orElse(0));
        state.ownPerSecond = EntryShare.of(total, serverId, ownName, entries);
    }

    /**
     * Records what an answer of a server says.
     *
     * @param serverId the identity of the server, not null
     * @param perSecond the rate that it names, in requests a second; empty if it names none
     * @param nowNanos the current time, in nanoseconds
     * @return whether other entries should know it
     */
    public boolean onAnswer(String serverId, OptionalDouble perSecond, long nowNanos) {
        State state = states.get(serverId);
        if (state == null && perSecond.isEmpty()) {
            return false;
        }
        OptionalDouble before = limitOf(serverId);
        learn(serverId, perSecond, nowNanos);
        return differs(before, perSecond);
    }

    private void learn(String serverId, OptionalDouble perSecond, long learnedNanos) {
        State state =
                states.computeIfAbsent(
                        serverId,
                        id -> new State(new TokenBucket(random.nextDouble(), learnedNanos)));
        state.perSecond = perSecond;
        state.learnedNanos = learnedNanos;
        updateShare(serverId, state);
    }

    private static boolean differs(OptionalDouble a, OptionalDouble b) {
        if (a.isEmpty() || b.isEmpty()) {
            return a.isPresent() != b.isPresent();
        }
        double difference = Math.abs(a.getAsDouble() - b.getAsDouble());
        return difference > SIGNIFICANT_CHANGE * a.getAsDouble();
    }

    /**
     * Merges what another entry knows.
     *
     * @param reports the limits that the other entry knows, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void merge(List<LimitReport> reports, long nowNanos) {
        for (LimitReport report : reports) {
            long learnedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(report.ageMs());
            State known = states.get(report.serverId());
            if (known == null || learnedNanos - known.learnedNanos > 0) {
                learn(report.serverId(), report.perSecond(), learnedNanos);
            }
        }
    }

    /**
     * Returns what this entry knows.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the limits, also those that were lifted
     */
    public List<LimitReport> report(long nowNanos) {
        return states.entrySet().stream()
                .map(
                        entry ->
                                new LimitReport(
                                        entry.getKey(),
                                        entry.getValue().perSecond,
                                        Math.max(
                                                0,
                                                TimeUnit.NANOSECONDS.toMillis(
                                                        nowNanos - entry.getValue().learnedNanos))))
                .toList();
    }

    /**
     * Returns the rate that a server takes from all entries together.
     *
     * @param serverId the identity of the server, not null
     * @return the rate, in requests a second; empty if it names none
     */
    public OptionalDouble limitOf(String serverId) {
        State state = states.get(serverId);
        return state == null ? OptionalDouble.empty() : state.perSecond;
    }

    /**
     * Returns how long this entry must not send to a server.
     *
     * @param serverId the identity of the server, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the time, in nanoseconds; 0 if it may send now, {@link Long#MAX_VALUE} if it has no
     *     share of the limit
     */
    public long waitNanos(String serverId, long nowNanos) {
        State state = states.get(serverId);
        if (state == null || state.perSecond.isEmpty()) {
            return 0;
        }
        if (state.ownPerSecond == 0) {
            return Long.MAX_VALUE;
        }
        return state.bucket.waitNanos(state.ownPerSecond, burst(state), nowNanos);
    }

    private static double burst(State state) {
        return 1 + BURST_S * state.ownPerSecond;
    }

    /**
     * Records that this entry sends a request to a server.
     *
     * @param serverId the identity of the server, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onSent(String serverId, long nowNanos) {
        State state = states.get(serverId);
        if (state != null && state.perSecond.isPresent() && state.ownPerSecond > 0) {
            state.bucket.tryTake(state.ownPerSecond, burst(state), nowNanos);
        }
    }

    /**
     * Returns how long a further request waits for a server.
     *
     * @param serverIds the identities of the servers of the service, not null
     * @param queued the number of requests that wait already
     * @param nowNanos the current time, in nanoseconds
     * @return the time, in milliseconds; 0 if a server has no limit, infinite if this entry has no
     *     share of any limit
     */
    public double expectedWaitMs(Collection<String> serverIds, int queued, long nowNanos) {
        double ownPerSecond = 0;
        long soonestNanos = Long.MAX_VALUE;
        for (String serverId : serverIds) {
            if (limitOf(serverId).isEmpty()) {
                return 0;
            }
            ownPerSecond += states.get(serverId).ownPerSecond;
            soonestNanos = Math.min(soonestNanos, waitNanos(serverId, nowNanos));
        }
        if (serverIds.isEmpty()) {
            return 0;
        }
        return ownPerSecond == 0
                ? Double.POSITIVE_INFINITY
                : soonestNanos / 1e6 + 1e3 * queued / ownPerSecond;
    }

    /**
     * Forgets the limits of all servers except the given ones.
     *
     * @param serverIds the identities of the servers, not null
     */
    public void retainServers(Set<String> serverIds) {
        states.keySet().retainAll(serverIds);
    }
}
