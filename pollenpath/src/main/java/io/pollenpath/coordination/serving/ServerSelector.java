package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.ServerInstance;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Chooses the backend server of a request: the one with the fewest own requests for its slots, with
 * a penalty for recent failures, for an address that another server has taken, and for another
 * availability zone.
 */
public final class ServerSelector {

    /** What a server that fails every request counts, in full servers. */
    static final double FAILURE_PENALTY = 3.0;

    /** What an outdated server counts, in full servers: it gets work only where none else can. */
    static final double OUTDATED_PENALTY = 4.0;

    /** Decides between servers of equal load, in full servers. */
    static final double OTHER_ZONE_PENALTY = 0.01;

    private static final double TIE_BREAK = 0.005;

    private final String zone;
    private final RandomGenerator random;

    /**
     * Creates a placement.
     *
     * @param zone the availability zone of this process, not null
     * @param random breaks ties, not null
     */
    public ServerSelector(String zone, RandomGenerator random) {
        this.zone = zone;
        this.random = random;
    }

    /**
     * Chooses among servers.
     *
     * @param servers the servers of the service, not null
     * @param outdated the identities of servers whose address another one has taken, not null
     * @param records what is known of each server, by identity, not null
     * @param tried the identities of servers that had the request before, not null
     * @param room whether only servers with a free slot count
     * @param nowNanos the present time
     * @return the server; avoided and tried ones only if there is no other; empty if there is none
     */
    public Optional<ServerInstance> choose(
            List<ServerInstance> servers,
            Set<String> outdated,
            Function<String, ServerHealth> records,
            Set<String> tried,
            boolean room,
            long nowNanos) {
        ServerInstance best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (ServerInstance server : servers) {
            ServerHealth record = records.apply(server.id());
            boolean full = record.inFlight() >= server.slots();
            if (server.draining()
                    || tried.contains(server.id())
                    || record.isAvoided(nowNanos)
                    || (room && full)) {
                continue;
            }
            double score = score(server, record);
            score += outdated.contains(server.id()) ? OUTDATED_PENALTY : 0;
            if (score < bestScore) {
                best = server;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private double score(ServerInstance server, ServerHealth record) {
        double load = (double) record.inFlight() / server.slots();
        double far = server.zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
        return load
                + FAILURE_PENALTY * record.failureShare()
                + far
                + TIE_BREAK * random.nextDouble();
    }
}
