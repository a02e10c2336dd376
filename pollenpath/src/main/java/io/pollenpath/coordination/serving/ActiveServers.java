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
 * Decides which backend servers are in use from what the store lists.
 *
 * <p>Entries of servers lapse while the store is away, because the servers cannot renew them. So
 * after an outage a server that is missing, and was not about to leave, stays in use for the time
 * that living servers take to come back.
 */
public final class ActiveServers {

    /** An outage that is shorter lets no entry lapse, in milliseconds. */
    static final long MIN_OUTAGE_MS = 1_000;

    /** How long living servers take to enter themselves again, in milliseconds. */
    static final long RETURN_MS = 2_000;

    private final Map<String, ServerInstance> kept = new HashMap<>();
    private Map<String, ServerInstance> listed = new HashMap<>();
    private long graceEndNanos;
    private boolean inGrace;

    /**
     * Takes what the store lists.
     *
     * @param servers all servers that are listed, draining ones too, not null
     * @param awayMs how long the store could not be reached just before, in milliseconds
     * @param nowNanos the present time
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
     * @param nowNanos the present time
     * @return those that are listed, and during the grace those that were before
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
     * Tells whether servers are kept that the store does not list.
     *
     * @return true during the grace after an outage
     */
    public boolean isInGracePeriod() {
        return inGrace;
    }
}
