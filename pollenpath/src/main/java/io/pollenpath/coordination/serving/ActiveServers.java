package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.ServerInstance;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The backend servers in use, derived from the registrations in the store.
 *
 * <p>Registrations expire during an outage of the store, because the servers cannot renew them.
 * After an outage, a server that is no longer registered and was not draining therefore stays in
 * use for a grace period, in which running servers register again. The same holds when the store
 * comes back from an older copy, which lacks the latest registrations; a server that has left since
 * that copy was made is not used again because the copy has it.
 */
public final class ActiveServers {

    /** Minimum outage in which registrations can expire, in milliseconds. */
    static final long MIN_OUTAGE_MS = 1_000;

    /** Grace period in which running servers register again after an outage, in milliseconds. */
    static final long GRACE_PERIOD_MS = 2_000;

    /**
     * How long the registration of a server that has left is ignored after the store came back from
     * an older copy, in milliseconds. Longer than a registration lasts that is not renewed.
     */
    public static final long DEPARTED_MS = 5_000;

    /** How long a server that has left is remembered, in milliseconds; copies are seconds old. */
    static final long DEPARTED_MEMORY_MS = 60_000;

    private final Map<String, ServerInstance> retained = new HashMap<>();

    /** When servers that have left did so, in nanoseconds, by incarnation. */
    private final Map<String, Long> departedNanos = new HashMap<>();

    private long departedEndNanos;
    private boolean ignoringDeparted;
    private Map<String, ServerInstance> registered = new HashMap<>();
    private long graceEndNanos;
    private boolean inGrace;

    /**
     * Updates the registered servers.
     *
     * @param servers all registered servers, including draining ones, not null
     * @param outageMs the duration of an outage of the store that just ended, in milliseconds; 0
     *     for none
     * @param olderCopy whether the store has come back from an older copy since the last update
     * @param nowNanos the current time, in nanoseconds
     * @return the servers to use
     */
    public List<ServerInstance> update(
            Collection<ServerInstance> servers, long outageMs, boolean olderCopy, long nowNanos) {
        if (outageMs >= MIN_OUTAGE_MS || olderCopy) {
            inGrace = true;
            graceEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(GRACE_PERIOD_MS);
        }
        if (olderCopy) {
            ignoringDeparted = true;
            departedEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(DEPARTED_MS);
        }
        Map<String, ServerInstance> previous = registered;
        registered = new HashMap<>();
        servers.forEach(server -> registered.put(server.id(), server));
        recordDepartures(previous.values(), nowNanos);
        if (inGrace) {
            previous.values().stream()
                    .filter(server -> !server.draining())
                    .forEach(server -> retained.putIfAbsent(server.id(), server));
        }
        return current(nowNanos);
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
        if (inGrace && nowNanos - graceEndNanos >= 0) {
            inGrace = false;
            retained.clear();
        }
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
        for (ServerInstance server : retained.values()) {
            if (!addresses.contains(server.address())) {
                inUse.add(server);
            }
        }
        return inUse;
    }

    /**
     * Returns whether a grace period is running, in which missing servers stay in use.
     *
     * @return true until an update or query after the end of the grace period
     */
    public boolean isInGracePeriod() {
        return inGrace;
    }
}
