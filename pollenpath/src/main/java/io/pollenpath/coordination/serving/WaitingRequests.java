package io.pollenpath.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Orders the requests that wait for a server of one service: by rank, then callers that were
 * refused before, then by arrival.
 *
 * @param <T> the kind of request
 */
public final class WaitingRequests<T> {

    private static final Comparator<Ticket<?>> ORDER =
            Comparator.<Ticket<?>>comparingInt(Ticket::rank)
                    .thenComparing(ticket -> !ticket.returning())
                    .thenComparingLong(Ticket::number);

    private final TreeSet<Ticket<T>> tickets = new TreeSet<>(ORDER);
    private long nextNumber;

    /**
     * Holds the place of a request in the queue.
     *
     * @param rank the rank; 0 goes first
     * @param returning whether the caller was refused before
     * @param number the order of arrival
     * @param giveUpNanos when the request is refused if it still waits
     * @param request the request, not null
     * @param <T> the kind of request
     */
    public record Ticket<T>(int rank, boolean returning, long number, long giveUpNanos, T request) {

        /** Checks the components. */
        public Ticket {
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Adds a request.
     *
     * @param rank the rank; 0 goes first
     * @param returning whether the caller was refused before
     * @param giveUpNanos when the request is refused if it still waits
     * @param request the request, not null
     * @return its place, to remove it
     */
    public Ticket<T> add(int rank, boolean returning, long giveUpNanos, T request) {
        Ticket<T> ticket = new Ticket<>(rank, returning, nextNumber++, giveUpNanos, request);
        tickets.add(ticket);
        return ticket;
    }

    /**
     * Removes a request.
     *
     * @param ticket its place, not null
     * @return false if it no longer waited
     */
    public boolean remove(Ticket<T> ticket) {
        return tickets.remove(ticket);
    }

    /**
     * Returns the request that goes next, without removing it.
     *
     * @return its place; empty if none waits
     */
    public Optional<Ticket<T>> first() {
        return tickets.isEmpty() ? Optional.empty() : Optional.of(tickets.first());
    }

    /**
     * Removes the requests that have waited as long as they may.
     *
     * @param nowNanos the present time
     * @return their places, in order
     */
    public List<Ticket<T>> removeExpired(long nowNanos) {
        List<Ticket<T>> expired = new ArrayList<>();
        for (Ticket<T> ticket : tickets) {
            if (nowNanos - ticket.giveUpNanos() >= 0) {
                expired.add(ticket);
            }
        }
        expired.forEach(tickets::remove);
        return expired;
    }

    /**
     * Counts the requests that wait.
     *
     * @return the number
     */
    public int size() {
        return tickets.size();
    }
}
