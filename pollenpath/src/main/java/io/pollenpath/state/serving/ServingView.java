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
 * Holds what an entry believes at one moment.
 *
 * @param config the newest configuration; empty before the first one is known
 * @param servers the backend servers of each service, without those that are draining, not null
 * @param outdated the identities of servers at whose address another one has registered later, so
 *     that they are most likely gone though they are still listed, not null
 * @param serversKnown whether the list of servers was read at least once
 * @param liveEntries the entries that share budgets, this one among them, at least 1
 */
public record ServingView(
        Optional<ServingConfig> config,
        Map<String, List<ServerInstance>> servers,
        Set<String> outdated,
        boolean serversKnown,
        int liveEntries) {

    /** What a process believes when it starts. */
    public static final ServingView EMPTY =
            new ServingView(Optional.empty(), Map.of(), Set.of(), false, 1);

    /** Checks the components. */
    public ServingView {
        Objects.requireNonNull(config, "config");
        servers = Map.copyOf(servers);
        outdated = Set.copyOf(outdated);
        if (liveEntries < 1) {
            throw new IllegalArgumentException("liveEntries is " + liveEntries + "; set 1 or more");
        }
    }

    /**
     * Replaces the configuration unless it is older than the present one.
     *
     * @param newer the configuration, not null
     * @return the view with the newer one of both
     */
    public ServingView withConfig(ServingConfig newer) {
        boolean older = config.map(present -> newer.version() < present.version()).orElse(false);
        return older
                ? this
                : new ServingView(Optional.of(newer), servers, outdated, serversKnown, liveEntries);
    }

    /**
     * Replaces the servers.
     *
     * @param all all servers, draining ones too, not null
     * @return the view with the servers that take new work
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
        Map<String, Long> newestEntry = new HashMap<>();
        for (ServerInstance server : all) {
            newestEntry.merge(server.address(), server.registrationRevision(), Math::max);
        }
        Set<String> outdated = new HashSet<>();
        for (ServerInstance server : all) {
            if (server.registrationRevision() < newestEntry.get(server.address())) {
                outdated.add(server.id());
            }
        }
        return outdated;
    }

    /**
     * Replaces the number of live entries.
     *
     * @param entries the number, at least 1
     * @return the changed view
     */
    public ServingView withLiveEntries(int entries) {
        return new ServingView(config, servers, outdated, serversKnown, entries);
    }

    /**
     * Returns the servers of a service that take new work.
     *
     * @param service the service, not null
     * @return the servers, maybe none
     */
    public List<ServerInstance> serversOf(String service) {
        return servers.getOrDefault(service, List.of());
    }

    /**
     * Returns the identities of all servers that take new work.
     *
     * @return the identities
     */
    public Set<String> serverIds() {
        Set<String> ids = new HashSet<>();
        servers.values().forEach(list -> list.forEach(server -> ids.add(server.id())));
        return ids;
    }

    /**
     * Tells whether requests can be served.
     *
     * @return true once a configuration and the servers are known
     */
    public boolean isComplete() {
        return config.isPresent() && serversKnown;
    }
}
