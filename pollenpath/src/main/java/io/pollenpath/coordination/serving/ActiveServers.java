package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.ServerInstance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The backend servers in use, derived from the registrations in the store.
 *
 * <p>Registrations expire during an outage of the store that lasts some heartbeats, because the
 * servers cannot renew them. A server that is no longer registered and was not draining therefore
 * stays in use until running servers have had time to register again, counted from the end of the
 * outage, and never for longer than servers that leave go on serving. The same holds when the store
 * comes back from an older copy, which lacks the latest registrations; a server that has left since
 * that copy was made is not used again because the copy has it.
 */
public final class ActiveServers {

    /** The time in which running servers register again after an outage, in milliseconds. */
    static final long REGISTER_AGAIN_MS = 2_000;

    /**
     * The time in which a request that was just sent reaches its server, and a change of the
     * servers those who send, in milliseconds.
     */
    static final long DRAIN_MARGIN_MS = 100;

    /**
     * The shortest outage in which a registration can expire, in heartbeats. It lasts three of
     * them, of which one may be over, and a half is how late a heartbeat may come.
     */
    private static final double MIN_OUTAGE_HEARTBEATS = 1.5;

    /**
     * How long the registration of a server that has left is ignored after the store came back from
     * an older copy, in milliseconds. Longer than a registration lasts that is not renewed.
     */
    public static final long DEPARTED_MS = 5_000;

    /** How long a server that has left is remembered, in milliseconds; copies are seconds old. */
    static final long DEPARTED_MEMORY_MS = 60_000;

    private final long minOutageMs;
    private final long graceNanos;
    private final Map<String, Retained> retained = new HashMap<>();

    /** When servers that have left did so, in nanoseconds, by incarnation. */
    private final Map<String, Long> departedNanos = new HashMap<>();

    private long departedEndNanos;
    private boolean ignoringDeparted;
    private Map<String, ServerInstance> registered = new HashMap<>();
    private long graceEndNanos;
    private boolean inGrace;

    /** A server that is not registered and stays in use. */
    private record Retained(ServerInstance server, long endNanos) {}

    /**
     * Creates the state without any server.
     *
     * @param heartbeatMs the time after which a server renews its registration, in milliseconds
     * @param drainMs how long a server goes on serving after its registration was removed, in
     *     milliseconds
     */
    public ActiveServers(long heartbeatMs, long drainMs) {
        minOutageMs = (long) (MIN_OUTAGE_HEARTBEATS * heartbeatMs);
        long graceMs = Math.min(REGISTER_AGAIN_MS, Math.max(0, drainMs - DRAIN_MARGIN_MS));
        graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMs);
    }

    /**
     * Updates the registered servers.
     *
     * @param servers all registered servers, including draining ones, not null
     * @param outage the latest outage of the store, not null
     * @param olderCopy whether the store has come back from an older copy since the last update
     * @param nowNanos the current time, in nanoseconds
     * @return the servers to use
     */
    public List<ServerInstance> update(
            Collection<ServerInstance> servers,
            StoreOutage outage,
            boolean olderCopy,
            long nowNanos) {
        if (outage.awayMs() >= minOutageMs) {
            extendGrace(outage.endNanos());
        }
        if (olderCopy) {
            extendGrace(nowNanos);
        }
        inGrace = inGrace && nowNanos - graceEndNanos < 0;
        if (olderCopy) {
            ignoringDeparted = true;
            departedEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(DEPARTED_MS);
        }
        Map<String, ServerInstance> previous = registered;
        registered = new HashMap<>();
        servers.forEach(server -> registered.put(server.id(), server));
        recordDepartures(previous.values(), nowNanos);
        if (inGrace) {
            previous.values().stream().filter(server -> !server.draining()).forEach(this::retain);
        }
        return current(nowNanos);
    }

    private void extendGrace(long storeBackNanos) {
        long endNanos = storeBackNanos + graceNanos;
        boolean later = endNanos - graceEndNanos > 0;
        graceEndNanos = inGrace && !later ? graceEndNanos : endNanos;
        inGrace = true;
    }

    private void retain(ServerInstance server) {
        retained.putIfAbsent(server.id(), new Retained(server, graceEndNanos));
    }

    private void recordDepartures(Collection<ServerInstance> previous, long nowNanos) {
        long oldestNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(DEPARTED_MEMORY_MS);
        departedNanos.values().removeIf(nanos -> nanos - oldestNanos < 0);
        if (!ignoringDeparted) {
            registered.values().forEach(server -> departedNanos.remove(server.incarnationId()));
        }
        for (ServerInstance server : previous) {
            boolean removed = !registered.containsKey(server.id());
            if (server.draining() || (removed && !inGrace)) {
                departedNanos.put(server.incarnationId(), nowNanos);
            }
        }
        for (ServerInstance server : registered.values()) {
            if (server.draining()) {
                departedNanos.put(server.incarnationId(), nowNanos);
            }
        }
    }

    /**
     * Returns the servers to use.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the registered servers, and in the grace period the missing ones whose address no
     *     other server has
     */
    public List<ServerInstance> current(long nowNanos) {
        retained.values().removeIf(server -> nowNanos - server.endNanos() >= 0);
        if (ignoringDeparted && nowNanos - departedEndNanos >= 0) {
            ignoringDeparted = false;
        }
        retained.keySet().removeAll(registered.keySet());
        List<ServerInstance> inUse = new ArrayList<>();
        for (ServerInstance server : registered.values()) {
            if (!ignoringDeparted || !departedNanos.containsKey(server.incarnationId())) {
                inUse.add(server);
            }
        }
        Set<String> addresses = new HashSet<>();
        inUse.forEach(server -> addresses.add(server.address()));
        for (Retained missing : retained.values()) {
            if (!addresses.contains(missing.server().address())) {
                inUse.add(missing.server());
            }
        }
        return inUse;
    }

    /**
     * Returns when the next missing server is no longer in use.
     *
     * @return the time, in nanoseconds; empty if no missing server is in use
     */
    public OptionalLong nextEndNanos() {
        return retained.values().stream().mapToLong(Retained::endNanos).min();
    }
}
