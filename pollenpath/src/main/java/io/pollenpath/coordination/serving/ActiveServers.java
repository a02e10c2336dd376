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
 * use for a grace period, in which running servers register again.
 */
public final class ActiveServers {

    /** Minimum outage in which registrations can expire, in milliseconds. */
    static final long MIN_OUTAGE_MS = 1_000;

    /** Grace period in which running servers register again after an outage, in milliseconds. */
    static final long GRACE_PERIOD_MS = 2_000;

    private final Map<String, ServerInstance> retained = new HashMap<>();
    private Map<String, ServerInstance> registered = new HashMap<>();
    private long graceEndNanos;
    private boolean inGrace;

    /**
     * Updates the registered servers.
     *
     * @param servers all registered servers, including draining ones, not null
     * @param outageMs the duration of an outage of the store that just ended, in milliseconds; 0
     *     for none
     * @param nowNanos the current time, in nanoseconds
     * @return the servers to use
     */
    public List<ServerInstance> update(
            Collection<ServerInstance> servers, long outageMs, long nowNanos) {
        if (outageMs >= MIN_OUTAGE_MS) {
            inGrace = true;
            graceEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(GRACE_PERIOD_MS);
        }
        Map<String, ServerInstance> previous = registered;
        registered = new HashMap<>();
        servers.forEach(server -> registered.put(server.id(), server));
        if (inGrace) {
            previous.values().stream()
                    .filter(server -> !server.draining())
                    .forEach(server -> retained.putIfAbsent(server.id(), server));
        }
        return current(nowNanos);
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
        retained.keySet().removeAll(registered.keySet());
        List<ServerInstance> inUse = new ArrayList<>(registered.values());
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
