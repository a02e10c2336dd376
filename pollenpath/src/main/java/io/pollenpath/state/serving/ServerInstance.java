package io.pollenpath.state.serving;

import java.util.Objects;

/**
 * Describes one incarnation of a backend server.
 *
 * @param id the identity that the server checks on each request, not null
 * @param incarnation tells starts under the same identity apart; the start in Unix milliseconds, or
 *     0 if the server does not tell
 * @param registrationRevision the store's revision at which its entry was made, which is higher the
 *     later it registered; 0 if unknown
 * @param service the service, not null
 * @param host the IP number, not null
 * @param port the port
 * @param zone the availability zone, not null
 * @param slots the requests that it runs at the same time, at least 1
 * @param draining whether it is about to leave and takes no new work
 */
public record ServerInstance(
        String id,
        long incarnation,
        long registrationRevision,
        String service,
        String host,
        int port,
        String zone,
        int slots,
        boolean draining) {

    private static final int MAX_PORT = 65_535;

    /** Checks the components. */
    public ServerInstance {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(zone, "zone");
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port is " + port + "; set 1 to " + MAX_PORT);
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots is " + slots + "; set 1 or more");
        }
    }

    /**
     * Returns where the server listens.
     *
     * @return the IP number and the port, with a colon between them
     */
    public String address() {
        return host + ":" + port;
    }
}
