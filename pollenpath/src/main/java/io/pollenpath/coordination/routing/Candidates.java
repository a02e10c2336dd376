package io.pollenpath.coordination.routing;

/** Shows the servers that a decision chooses among, without copying them. */
public interface Candidates {

    /**
     * Counts the servers.
     *
     * @return the number of servers, usable or not
     */
    int size();

    /**
     * Tells whether a server takes this request.
     *
     * @param index the server, from 0
     * @return false if it must not be chosen
     */
    boolean isUsable(int index);

    /**
     * Returns what the entry knows of a server.
     *
     * @param index the server, from 0
     * @return the knowledge, not null
     */
    ServerStats stats(int index);
}
