package io.pollenpath.state.serving;

import java.util.Objects;

/**
 * A client account, which callers identify by an API key.
 *
 * @param name the name that backend servers receive, not null
 * @param priority the priority, which overrides that of the route; negative to use that of the
 *     route
 */
public record ClientAccount(String name, int priority) {

    /** The priority of an account that does not declare one. */
    public static final int ROUTE_PRIORITY = -1;

    /** Checks the components. */
    public ClientAccount {
        Objects.requireNonNull(name, "name");
    }

    /**
     * Returns the priority of a request of this account.
     *
     * @param route the route of the request, not null
     * @return the account's priority, or the route's if the account has none
     */
    public int priorityOn(Route route) {
        return priority < 0 ? route.priority() : priority;
    }
}
