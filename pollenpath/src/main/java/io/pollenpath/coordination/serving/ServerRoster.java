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
public final class ServerRoster {

    /** Minimum outage in which registrations can expire, in milliseconds. */
    static final long MIN_OUTAGE_MS = 1_000;

    /** Grace period in which running servers register again after an outage, in milliseconds. */
    static final long RETURN_MS = 2_000;

    private final Map<String, ServerInstance> kept = new HashMap<>();
    private Map<String, ServerInstance> listed = new HashMap<>();
    private long graceEndNanos;
    private boolean inGrace;

    /**
     * Updates the registered servers.
     *
     * @param servers all registered servers, including draining ones, not null
     * @param awayMs the duration of an outage of the store that just ended, in milliseconds; 0 for
     *     none
     * @param nowNanos the current time, in nanoseconds
     * @return the servers to use
     */
    public List<ServerInstance> update(
            Collection<ServerInstance> servers, long awayMs, long nowNanos) {
        if (awayMs >= MIN_OUTAGE_MS) {
            inGrace = true;
            graceEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(RETURN_MS);
        }
        Map<String, ServerInstance> before = listed;
        listed = new HashMap<>();
        servers.forEach(server -> listed.put(server.id(), server));
        if (inGrace) {
            before.values().stream()
                    .filter(server -> !server.draining())
                    .forEach(server -> kept.putIfAbsent(server.id(), server));
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
            kept.clear();
        }
        kept.keySet().removeAll(listed.keySet());
        List<ServerInstance> all = new ArrayList<>(listed.values());
        Set<String> addresses = new HashSet<>();
        all.forEach(server -> addresses.add(server.address()));
        for (ServerInstance server : kept.values()) {
            if (!addresses.contains(server.address())) {
                all.add(server);
            }
        }
        return all;
    }

    /**
     * Returns whether a grace period is running, in which missing servers stay in use.
     *
     * @return true until an update or query after the end of the grace period
     */
    public boolean isInGrace() {
        return inGrace;
    }
}
