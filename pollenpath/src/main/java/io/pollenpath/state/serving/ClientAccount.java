package io.pollenpath.state.serving;

import java.util.Objects;

/**
 * Names a customer whose keys callers present.
 *
 * @param name the name that backend servers see, not null
 * @param priority the rank that goes before the route's; negative if the route's holds
 */
public record ClientAccount(String name, int priority) {

    /** The priority of an account that declares none. */
    public static final int ROUTE_PRIORITY = -1;

    /** Checks the components. */
    public ClientAccount {
        Objects.requireNonNull(name, "name");
    }

    /**
     * Returns the rank of a request of this account.
     *
     * @param route the route of the request, not null
     * @return the account's priority, or the route's if the account has none
     */
    public int priorityOn(Route route) {
        return priority < 0 ? route.priority() : priority;
    }
}
