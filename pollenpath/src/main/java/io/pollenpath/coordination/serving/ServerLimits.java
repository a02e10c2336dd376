package io.pollenpath.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/** The rates of requests that servers in need take from all entries together. */
public final class ServerLimits {

    private final Map<String, Double> limits = new HashMap<>();

    /**
     * Records what an answer of a server says.
     *
     * @param serverId the identity of the server, not null
     * @param perSecond the rate that it names, in requests a second; empty if it names none
     * @return whether that differs from what was known
     */
    public boolean onAnswer(String serverId, OptionalDouble perSecond) {
        OptionalDouble known = limitOf(serverId);
        if (perSecond.isPresent()) {
            limits.put(serverId, perSecond.getAsDouble());
        } else {
            limits.remove(serverId);
        }
        return !known.equals(perSecond);
    }

    /**
     * Returns the rate that a server takes from all entries together.
     *
     * @param serverId the identity of the server, not null
     * @return the rate, in requests a second; empty if it has named none
     */
    public OptionalDouble limitOf(String serverId) {
        Double perSecond = limits.get(serverId);
        return perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
    }

    /**
     * Forgets the limits of all servers except the given ones.
     *
     * @param serverIds the identities of the servers, not null
     */
    public void retainServers(Set<String> serverIds) {
        limits.keySet().retainAll(serverIds);
    }
}
