package io.pollenpath.state.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of the configuration that operators declare: routes, services, accounts and limits.
 */
public final class ServingConfig {

    private static final Comparator<Route> LONGEST_FIRST =
            Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();

    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, ClientAccount> accountsByKey;
    private final boolean keysRequired;
    private final CallerLimits limits;

    /**
     * Creates a version of the configuration.
     *
     * @param version the version number; a higher one is newer
     * @param routes the routes, not null
     * @param services the services, not null
     * @param accountsByKey the account of each API key, not null; empty if callers need no key, in
     *     which case {@code keysRequired} is false
     * @param keysRequired whether requests of non-public routes need an API key
     * @param limits the limits on callers, not null
     */
    public ServingConfig(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Map<String, ClientAccount> accountsByKey,
            boolean keysRequired,
            CallerLimits limits) {
        this.version = version;
        this.accountsByKey = Map.copyOf(accountsByKey);
        this.keysRequired = keysRequired;
        this.limits = Objects.requireNonNull(limits, "limits");
        for (Route route : routes) {
            routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        routesByHost.values().forEach(list -> list.sort(LONGEST_FIRST));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /**
     * Returns the version number of this configuration.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the Host header, not null
     * @param path the path without its query, not null
     * @return the route with the longest prefix of the path; empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the account of an API key.
     *
     * @param key the key, not null
     * @return the account; empty if the key is unknown
     */
    public Optional<ClientAccount> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /**
     * Returns whether requests of a route need an API key.
     *
     * @param route the route, not null
     * @return false for public routes and where no accounts are declared
     */
    public boolean needsKey(Route route) {
        return keysRequired && !route.isPublic();
    }

    /**
     * Finds a service.
     *
     * @param name the name, not null
     * @return the service; empty if it is not declared
     */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
