package io.pollenpath.state.serving;

import java.util.Objects;

/**
 * One incarnation of a backend server.
 *
 * @param id the identity, which the server checks on each request, not null
 * @param incarnation distinguishes process incarnations with the same identity: the start time in
 *     Unix milliseconds, or 0 if the server does not report it
 * @param registrationRevision the revision of the store at which the server registered, which is
 *     higher for later registrations; 0 if unknown
 * @param service the service, not null
 * @param host the IP address, not null
 * @param port the port
 * @param zone the availability zone, not null
 * @param slots the number of requests that it runs at the same time, at least 1
 * @param draining whether it is draining and accepts no new requests
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
            throw new IllegalArgumentException(
                    "port is " + port + "; set it between 1 and " + MAX_PORT);
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots is " + slots + "; set it to at least 1");
        }
    }

    /**
     * Returns what distinguishes this process from others that had the same identity.
     *
     * @return the identity and the incarnation, separated by an at sign
     */
    public String incarnationId() {
        return id + "@" + incarnation;
    }

    /**
     * Returns the address at which the server listens.
     *
     * @return the IP address and the port, separated by a colon
     */
    public String address() {
        return host + ":" + port;
    }
}
