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
 * Orders the requests that wait for a server of one service: by rank, then callers that were
 * refused before, then those that can still be answered on time, then by arrival.
 *
 * @param <T> the kind of request
 */
public final class WaitingRequests<T> {

    private static final Comparator<QueuedRequest<?>> ORDER =
            Comparator.<QueuedRequest<?>>comparingInt(QueuedRequest::rank)
                    .thenComparing(ticket -> !ticket.returning())
                    .thenComparing(QueuedRequest::late)
                    .thenComparingLong(QueuedRequest::number);

    private final TreeSet<QueuedRequest<T>> tickets = new TreeSet<>(ORDER);
    private final Map<T, QueuedRequest<T>> places = new HashMap<>();
    private long nextNumber;

    /**
     * Holds the place of a request in the queue.
     *
     * @param rank the rank; 0 goes first
     * @param returning whether the caller was refused before
     * @param late whether the answer can no longer be on time
     * @param number the order of arrival
     * @param lateNanos when the answer can no longer be on time
     * @param giveUpNanos when the request is refused if it still waits
     * @param request the request, not null
     * @param <T> the kind of request
     */
    public record QueuedRequest<T>(
            int rank,
            boolean returning,
            boolean late,
            long number,
            long lateNanos,
            long giveUpNanos,
            T request) {

        /** Checks the components. */
        public QueuedRequest {
            Objects.requireNonNull(request, "request");
        }

        private QueuedRequest<T> asLate() {
            return new QueuedRequest<>(
                    rank, returning, true, number, lateNanos, giveUpNanos, request);
        }
    }

    /**
     * Adds a request.
     *
     * @param rank the rank; 0 goes first
     * @param returning whether the caller was refused before
     * @param lateNanos when the answer can no longer be on time
     * @param giveUpNanos when the request is refused if it still waits
     * @param request the request, not null
     */
    public void add(int rank, boolean returning, long lateNanos, long giveUpNanos, T request) {
        QueuedRequest<T> ticket =
                new QueuedRequest<>(
                        rank, returning, false, nextNumber++, lateNanos, giveUpNanos, request);
        tickets.add(ticket);
        places.put(request, ticket);
    }

    /**
     * Removes a request.
     *
     * @param request the request, not null
     * @return false if it did not wait
     */
    public boolean remove(T request) {
        QueuedRequest<T> place = places.remove(request);
        return place != null && tickets.remove(place);
    }

    /**
     * Puts requests behind that can no longer be answered on time.
     *
     * @param nowNanos the present time
     */
    public void demoteLate(long nowNanos) {
        for (QueuedRequest<T> ticket : List.copyOf(tickets)) {
            if (!ticket.late() && nowNanos - ticket.lateNanos() >= 0) {
                tickets.remove(ticket);
                QueuedRequest<T> late = ticket.asLate();
                tickets.add(late);
                places.put(late.request(), late);
            }
        }
    }

    /**
     * Returns the request that goes next, without removing it.
     *
     * @return its place; empty if none waits
     */
    public Optional<QueuedRequest<T>> first() {
        return tickets.isEmpty() ? Optional.empty() : Optional.of(tickets.first());
    }

    /**
     * Removes the requests that have waited as long as they may.
     *
     * @param nowNanos the present time
     * @return their places, in order
     */
    public List<QueuedRequest<T>> removeExpired(long nowNanos) {
        List<QueuedRequest<T>> expired = new ArrayList<>();
        for (QueuedRequest<T> ticket : tickets) {
            if (nowNanos - ticket.giveUpNanos() >= 0) {
                expired.add(ticket);
            }
        }
        expired.forEach(ticket -> remove(ticket.request()));
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
