package io.pollenpath.coordination.routing;

import java.util.Objects;

/**
 * The properties of a request that a routing decision may use.
 *
 * @param zone the availability zone of the entry, not null
 * @param costTokens the estimated work, in tokens
 * @param prefixTokens the work that a cached prefix saves, in tokens
 * @param prefixHash the hash of the prompt's leading block, 0 for none
 */
public record RouteRequest(String zone, int costTokens, int prefixTokens, long prefixHash) {

    private static final int UNKNOWN_PREFIX_DIVISOR = 2;

    /** Checks the components. */
    public RouteRequest {
        Objects.requireNonNull(zone, "zone");
    }

    /**
     * Creates a request whose prefix length is unknown. The prefix is assumed to be half of the
     * work, or 0 if there is no prefix.
     *
     * @param zone the availability zone of the entry, not null
     * @param costTokens the estimated work, in tokens
     * @param prefixHash the hash of the prompt's leading block, 0 for none
     */
    public RouteRequest(String zone, int costTokens, long prefixHash) {
        this(
                zone,
                costTokens,
                prefixHash == 0 ? 0 : costTokens / UNKNOWN_PREFIX_DIVISOR,
                prefixHash);
    }
}
