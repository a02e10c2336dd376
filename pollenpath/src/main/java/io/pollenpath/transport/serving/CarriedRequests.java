package io.pollenpath.transport.serving;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The latest requests that a connection has carried, to which a late answer may belong. Only a hash
 * of each ID is kept, since callers choose how long their IDs are.
 */
final class CarriedRequests {

    private static final int MAX_KEPT = 64;

    private final Deque<Integer> idHashes = new ArrayDeque<>();
    private boolean several;

    /** Records the next request. */
    void add(String requestId) {
        several |= !idHashes.isEmpty();
        if (idHashes.size() == MAX_KEPT) {
            idHashes.removeFirst();
        }
        idHashes.addLast(requestId.hashCode());
    }

    /** Returns whether an ID is that of one of the latest requests; false if it is empty. */
    boolean contains(String requestId) {
        return !requestId.isEmpty() && idHashes.contains(requestId.hashCode());
    }

    /** Returns whether the connection has carried more than one request. */
    boolean areSeveral() {
        return several;
    }
}
