package io.pollenpath.coordination.routing;

/** Read-only, indexed view of the servers that a router chooses among. */
public interface Candidates {

    /**
     * Returns the number of servers.
     *
     * @return the number, usable or not
     */
    int size();

    /**
     * Returns whether a server may receive this request.
     *
     * @param index the server, from 0
     * @return false if it must not be chosen
     */
    boolean isUsable(int index);

    /**
     * Returns what this entry knows of the load and cache of a server.
     *
     * @param index the server, from 0
     * @return the state of the server, not null
     */
    ServerStats stats(int index);
}
