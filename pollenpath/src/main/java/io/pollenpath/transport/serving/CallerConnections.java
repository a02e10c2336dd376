package io.pollenpath.transport.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The open connections of callers. All calls are made on one event loop. */
final class CallerConnections {

    private final Set<CallerConnection> open = new HashSet<>();

    void add(CallerConnection connection) {
        open.add(connection);
    }

    void remove(CallerConnection connection) {
        open.remove(connection);
    }

    /** Closes those that have had no request for at least the given time. */
    void closeIdle(long nowNanos, long limitNanos) {
        List.copyOf(open).forEach(connection -> connection.closeIfIdle(nowNanos, limitNanos));
    }

    /** Returns the number of callers that have not yet taken all of a complete answer. */
    int unsentAnswers() {
        return (int) open.stream().filter(CallerConnection::hasUnsentAnswer).count();
    }
}
