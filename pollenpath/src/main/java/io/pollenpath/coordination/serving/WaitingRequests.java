package io.pollenpath.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Queue of the requests that wait for a server of one service. Ordered by priority; then requests
 * that were refused or sent before; then requests that can still be answered on time; then by
 * arrival.
 *
 * @param <T> the type of a request
 */
public final class WaitingRequests<T> {

    private static final Comparator<Ticket<?>> ORDER =
            Comparator.<Ticket<?>>comparingInt(Ticket::rank)
                    .thenComparing(ticket -> !ticket.returning())
                    .thenComparing(Ticket::late)
                    .thenComparingLong(Ticket::number);

    private final TreeSet<Ticket<T>> tickets = new TreeSet<>(ORDER);
    private final Map<T, Ticket<T>> places = new HashMap<>();
    private long nextNumber;

    /**
     * A queued request with its position in the order.
     *
     * @param rank the priority; 0 is served first
     * @param returning whether the caller was refused before, or the request was sent before
     * @param late whether the request can no longer be answered on time
     * @param number the arrival number
     * @param lateNanos the time from which the request can no longer be answered on time, in
     *     nanoseconds
     * @param giveUpNanos the time at which the request is refused if it is still queued, in
     *     nanoseconds
     * @param request the request, not null
     * @param <T> the type of a request
     */
    public record Ticket<T>(
            int rank,
            boolean returning,
            boolean late,
            long number,
            long lateNanos,
            long giveUpNanos,
            T request) {

        /** Checks the components. */
        public Ticket {
            Objects.requireNonNull(request, "request");
        }

        private Ticket<T> asLate() {
            return new Ticket<>(rank, returning, true, number, lateNanos, giveUpNanos, request);
        }
    }

    /**
     * Adds a request.
     *
     * @param rank the priority; 0 is served first
     * @param returning whether the caller was refused before, or the request was sent before
     * @param lateNanos the time from which the request can no longer be answered on time, in
     *     nanoseconds
     * @param giveUpNanos the time at which the request is refused if it is still queued, in
     *     nanoseconds
     * @param request the request, not null
     */
    public void add(int rank, boolean returning, long lateNanos, long giveUpNanos, T request) {
        Ticket<T> ticket =
                new Ticket<>(rank, returning, false, nextNumber++, lateNanos, giveUpNanos, request);
        tickets.add(ticket);
        places.put(request, ticket);
    }

    /**
     * Removes a request.
     *
     * @param request the request, not null
     * @return false if it was not queued
     */
    public boolean remove(T request) {
        Ticket<T> place = places.remove(request);
        return place != null && tickets.remove(place);
    }

    /**
     * Moves requests that can no longer be answered on time behind those that still can, within
     * their priority and {@code returning} group.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void demoteLate(long nowNanos) {
        for (Ticket<T> ticket : List.copyOf(tickets)) {
            if (!ticket.late() && nowNanos - ticket.lateNanos() >= 0) {
                tickets.remove(ticket);
                Ticket<T> late = ticket.asLate();
                tickets.add(late);
                places.put(late.request(), late);
            }
        }
    }

    /**
     * Returns the request that is served next, without removing it.
     *
     * @return the queued request; empty if the queue is empty
     */
    public Optional<Ticket<T>> first() {
        return tickets.isEmpty() ? Optional.empty() : Optional.of(tickets.first());
    }

    /**
     * Removes the requests whose queue timeout has passed.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the removed requests, in queue order
     */
    public List<Ticket<T>> removeExpired(long nowNanos) {
        List<Ticket<T>> expired = new ArrayList<>();
        for (Ticket<T> ticket : tickets) {
            if (nowNanos - ticket.giveUpNanos() >= 0) {
                expired.add(ticket);
            }
        }
        expired.forEach(ticket -> remove(ticket.request()));
        return expired;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number
     */
    public int size() {
        return tickets.size();
    }
}
