package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.ServerInstance;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Chooses the backend server for a request, under any load: the one with the lowest ratio of this
 * entry's requests to slots, with penalties for recent failures, for an address that another server
 * has taken over, and for another availability zone. A server with much longer gaps between the
 * events of its streams than the fastest one gets fewer requests in proportion, so that streams go
 * where events come. So does a server that is known to be slow: all servers of its rank group wait
 * for the requests that it works on.
 */
public final class ServerSelector {

    /** Penalty of a server that fails every request; a fully loaded server has the score 1. */
    static final double FAILURE_PENALTY = 3.0;

    /** Penalty of an outdated server; it is chosen only if no other server can take the request. */
    static final double OUTDATED_PENALTY = 4.0;

    /** Cross-zone penalty; small enough to decide only between servers of equal load. */
    static final double CROSS_ZONE_PENALTY = 0.01;

    /**
     * Ratio of two event gaps from which they differ by more than chance and the size of prompts.
     */
    static final double SLOW_GAP_RATIO = 2.0;

    private static final double TIE_BREAK_WEIGHT = 0.005;

    private final String zone;
    private final ServerLimits limits;
    private final ServerSlowdowns slowdowns;
    private final RandomGenerator random;

    /**
     * Creates a selector for one entry.
     *
     * @param zone the availability zone of this entry, not null
     * @param limits the limits that servers have named, not null
     * @param slowdowns how slow servers are known to be, not null
     * @param random the random source that breaks ties, not null
     */
    public ServerSelector(
            String zone, ServerLimits limits, ServerSlowdowns slowdowns, RandomGenerator random) {
        this.zone = zone;
        this.limits = limits;
        this.slowdowns = slowdowns;
        this.random = random;
    }

    /**
     * Chooses one of the servers. Draining, leaving, avoided and already tried servers are
     * excluded, and those that take no more requests now by the limit or pause that they have
     * named.
     *
     * @param servers the servers of the service, not null
     * @param outdated the ids of the servers whose address another server has taken over, not null
     * @param health returns the state of a server by its id, not null
     * @param tried the ids of the servers that the request was sent to before, not null
     * @param requireFreeSlot whether servers without a free slot are excluded too
     * @param nowNanos the current time, in nanoseconds
     * @return the server; empty if all are excluded
     */
    public Optional<ServerInstance> choose(
            List<ServerInstance> servers,
            Set<String> outdated,
            Function<String, ServerHealth> health,
            Set<String> tried,
            boolean requireFreeSlot,
            long nowNanos) {
        List<ServerInstance> candidates =
                servers.stream()
                        .filter(server -> !server.draining() && !tried.contains(server.id()))
                        .filter(
                                server ->
                                        takesRequests(
                                                server,
                                                health.apply(server.id()),
                                                requireFreeSlot,
                                                nowNanos))
                        .toList();
        double shortestGapMs = shortestGapMs(candidates, health, nowNanos);
        ServerInstance best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (ServerInstance server : candidates) {
            double score = score(server, health.apply(server.id()), shortestGapMs, nowNanos);
            score += outdated.contains(server.id()) ? OUTDATED_PENALTY : 0;
            if (score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean takesRequests(
            ServerInstance server,
            ServerHealth serverHealth,
            boolean requireFreeSlot,
            long nowNanos) {
        boolean full = serverHealth.inFlight() >= server.slots();
        return !serverHealth.isLeaving(server.incarnation())
                && !serverHealth.isAvoided(nowNanos)
                && serverHealth.pauseNanos(nowNanos) == 0
                && limits.waitNanos(server.id(), nowNanos) == 0
                && !(requireFreeSlot && full);
    }

    /** Returns the shortest present event gap of the servers; infinite if none is known. */
    private static double shortestGapMs(
            List<ServerInstance> servers, Function<String, ServerHealth> health, long nowNanos) {
        return servers.stream()
                .map(server -> health.apply(server.id()))
                .filter(serverHealth -> serverHealth.isGapPresent(nowNanos))
                .mapToDouble(serverHealth -> serverHealth.eventGapMs(nowNanos))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private double score(
            ServerInstance server, ServerHealth serverHealth, double shortestGapMs, long nowNanos) {
        double ratio = serverHealth.eventGapMs(nowNanos) / shortestGapMs;
        double slowness = ratio >= SLOW_GAP_RATIO ? ratio : 1;
        slowness = Math.max(slowness, slowdowns.factor(server.address(), nowNanos));
        double load = ((serverHealth.inFlight() + 1) * slowness - 1) / server.slots();
        double zonePenalty = server.zone().equals(zone) ? 0 : CROSS_ZONE_PENALTY;
        return load
                + FAILURE_PENALTY * serverHealth.failureRate(nowNanos)
                + zonePenalty
                + TIE_BREAK_WEIGHT * random.nextDouble();
    }
}
