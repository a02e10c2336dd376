package io.pollenpath.state.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The last known configuration, backend servers and entries, as cached by one entry.
 *
 * @param config the newest configuration; empty before the first one is known
 * @param servers the backend servers of each service, except draining ones, not null
 * @param outdated the identities of servers at whose address another server has registered later,
 *     so that they have most likely terminated though their registration has not expired, not null
 * @param serversKnown whether the list of servers has been read at least once
 * @param entries the running entries, this one included once it is registered, not null
 */
public record ServingView(
        Optional<ServingConfig> config,
        Map<String, List<ServerInstance>> servers,
        Set<String> outdated,
        boolean serversKnown,
        List<EntryInstance> entries) {

    /** The view of a process that has read nothing yet. */
    public static final ServingView EMPTY =
            new ServingView(Optional.empty(), Map.of(), Set.of(), false, List.of());

    /** Checks the components. */
    public ServingView {
        Objects.requireNonNull(config, "config");
        servers = Map.copyOf(servers);
        outdated = Set.copyOf(outdated);
        entries = List.copyOf(entries);
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
                : new ServingView(Optional.of(newer), servers, outdated, serversKnown, entries);
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
        return new ServingView(config, byService, outdatedOf(all), true, entries);
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
     * Returns a view with other entries.
     *
     * @param running the running entries, not null
     * @return the changed view
     */
    public ServingView withEntries(List<EntryInstance> running) {
        return new ServingView(config, servers, outdated, serversKnown, running);
    }

    /**
     * Returns the number of entries that share budgets and limits.
     *
     * @return the number of running entries, at least 1
     */
    public int liveEntries() {
        return Math.max(1, entries.size());
    }

    /**
     * Returns the names of the running entries.
     *
     * @return the names, in no particular order
     */
    public List<String> entryNames() {
        return entries.stream().map(EntryInstance::name).toList();
    }

    /**
     * Returns where the other entries receive calls.
     *
     * @param ownName the name of this entry, not null
     * @return the addresses of the entries that receive calls, without this one
     */
    public Set<String> otherEntryAddresses(String ownName) {
        return entries.stream()
                .filter(entry -> !entry.name().equals(ownName) && !entry.address().isEmpty())
                .map(EntryInstance::address)
                .collect(Collectors.toSet());
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
     * Returns whether another process has taken over the address of a server.
     *
     * @param server the server, not null
     * @return true if another registration names the address, and either it is the later one or
     *     that of the server is gone
     */
    public boolean isReplaced(ServerInstance server) {
        List<ServerInstance> all = servers.values().stream().flatMap(List::stream).toList();
        boolean registered =
                all.stream()
                        .anyMatch(other -> other.incarnationId().equals(server.incarnationId()));
        return all.stream()
                .filter(other -> other.address().equals(server.address()))
                .filter(other -> !other.incarnationId().equals(server.incarnationId()))
                .anyMatch(other -> !registered || isLater(other, server));
    }

    private static boolean isLater(ServerInstance one, ServerInstance other) {
        return one.registrationRevision() > other.registrationRevision();
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
