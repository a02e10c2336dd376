package io.pollenpath.state.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The last known configuration, backend servers and number of entries, as cached by one entry.
 *
 * @param config the newest configuration; empty before the first one is known
 * @param servers the backend servers of each service, except draining ones, not null
 * @param outdated the identities of servers at whose address another server has registered later,
 *     so that they have most likely terminated though their registration has not expired, not null
 * @param serversKnown whether the list of servers has been read at least once
 * @param liveEntries the number of entries that share budgets, including this one, at least 1
 */
public record ServingView(
        Optional<ServingConfig> config,
        Map<String, List<ServerInstance>> servers,
        Set<String> outdated,
        boolean serversKnown,
        int liveEntries) {

    /** The view of a process that has read nothing yet. */
    public static final ServingView EMPTY =
            new ServingView(Optional.empty(), Map.of(), Set.of(), false, 1);

    /** Checks the components. */
    public ServingView {
        Objects.requireNonNull(config, "config");
        servers = Map.copyOf(servers);
        outdated = Set.copyOf(outdated);
        if (liveEntries < 1) {
            throw new IllegalArgumentException(
                    "liveEntries is " + liveEntries + "; set it to at least 1");
        }
    }

    /**
     * Returns a view with another configuration, unless that is older than the present one.
     *
     * @param newer the configuration, not null
     * @return the view with the newer configuration
     */
    public ServingView withConfig(ServingConfig newer) {
        boolean older = config.map(present -> newer.version() < present.version()).orElse(false);
        return older
                ? this
                : new ServingView(Optional.of(newer), servers, outdated, serversKnown, liveEntries);
    }

    /**
     * Returns a view with other servers.
     *
     * @param all all servers, including draining ones, not null
     * @return the view with the servers that accept new requests
     */
    public ServingView withServers(Iterable<ServerInstance> all) {
        Map<String, List<ServerInstance>> byService = new HashMap<>();
        for (ServerInstance server : all) {
            if (!server.draining()) {
                byService.computeIfAbsent(server.service(), name -> new ArrayList<>()).add(server);
            }
        }
        return new ServingView(config, byService, outdatedOf(all), true, liveEntries);
    }

    private static Set<String> outdatedOf(Iterable<ServerInstance> all) {
        Map<String, Long> newestRevision = new HashMap<>();
        for (ServerInstance server : all) {
            newestRevision.merge(server.address(), server.registrationRevision(), Math::max);
        }
        Set<String> outdated = new HashSet<>();
        for (ServerInstance server : all) {
            if (server.registrationRevision() < newestRevision.get(server.address())) {
                outdated.add(server.id());
            }
        }
        return outdated;
    }

    /**
     * Returns a view with another number of live entries.
     *
     * @param entries the number, at least 1
     * @return the changed view
     */
    public ServingView withLiveEntries(int entries) {
        return new ServingView(config, servers, outdated, serversKnown, entries);
    }

    /**
     * Returns the servers of a service that accept new requests.
     *
     * @param service the service, not null
     * @return the servers, possibly none
     */
    public List<ServerInstance> serversOf(String service) {
        return servers.getOrDefault(service, List.of());
    }

    /**
     * Returns the identities of all servers that accept new requests.
     *
     * @return the identities
     */
    public Set<String> serverIds() {
        Set<String> ids = new HashSet<>();
        servers.values().forEach(list -> list.forEach(server -> ids.add(server.id())));
        return ids;
    }

    /**
     * Returns whether enough is known to serve requests.
     *
     * @return true once a configuration and the servers are known
     */
    public boolean isComplete() {
        return config.isPresent() && serversKnown;
    }
}
