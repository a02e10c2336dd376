package io.pollenpath.coordination.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of the requests that wait for a server of one service. Ordered by priority; then requests
 * that were refused or sent before; then requests that can still be answered on time; then by
 * arrival.
 *
 * @param <T> the type of a request
 */
public final class WaitingRequests<T> {

    private static final Comparator<QueuedRequest<?>> ORDER =
            Comparator.<QueuedRequest<?>>comparingInt(QueuedRequest::priority)
                    .thenComparing(queued -> !queued.retried())
                    .thenComparing(QueuedRequest::late)
                    .thenComparingLong(QueuedRequest::arrivalNumber);

    private final TreeSet<QueuedRequest<T>> queue = new TreeSet<>(ORDER);
    private final Map<T, QueuedRequest<T>> byRequest = new HashMap<>();
    private long nextArrivalNumber;

    /**
     * A queued request with its position in the order.
     *
     * @param priority the priority; 0 is served first
     * @param retried whether the caller was refused before, or the request was sent before
     * @param late whether the request can no longer be answered on time
     * @param arrivalNumber the arrival number
     * @param lateAtNanos the time from which the request can no longer be answered on time, in
     *     nanoseconds
     * @param expiryNanos the time at which the request is refused if it is still queued, in
     *     nanoseconds
     * @param request the request, not null
     * @param <T> the type of a request
     */
    public record QueuedRequest<T>(
            int priority,
            boolean retried,
            boolean late,
            long arrivalNumber,
            long lateAtNanos,
            long expiryNanos,
            T request) {

        /** Checks the components. */
        public QueuedRequest {
            Objects.requireNonNull(request, "request");
        }

        private QueuedRequest<T> asLate() {
            return new QueuedRequest<>(
                    priority, retried, true, arrivalNumber, lateAtNanos, expiryNanos, request);
        }
    }

    /**
     * Adds a request.
     *
     * @param priority the priority; 0 is served first
     * @param retried whether the caller was refused before, or the request was sent before
     * @param lateAtNanos the time from which the request can no longer be answered on time, in
     *     nanoseconds
     * @param expiryNanos the time at which the request is refused if it is still queued, in
     *     nanoseconds
     * @param request the request, not null
     */
    public void add(int priority, boolean retried, long lateAtNanos, long expiryNanos, T request) {
        QueuedRequest<T> queued =
                new QueuedRequest<>(
                        priority,
                        retried,
                        false,
                        nextArrivalNumber++,
                        lateAtNanos,
                        expiryNanos,
                        request);
        queue.add(queued);
        byRequest.put(request, queued);
    }

    /**
     * Removes a request.
     *
     * @param request the request, not null
     * @return false if it was not queued
     */
    public boolean remove(T request) {
        QueuedRequest<T> queued = byRequest.remove(request);
        return queued != null && queue.remove(queued);
    }

    /**
     * Moves requests that can no longer be answered on time behind those that still can, within
     * their priority and retry state.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void demoteLate(long nowNanos) {
        for (QueuedRequest<T> queued : List.copyOf(queue)) {
            if (!queued.late() && nowNanos - queued.lateAtNanos() >= 0) {
                queue.remove(queued);
                QueuedRequest<T> late = queued.asLate();
                queue.add(late);
                byRequest.put(late.request(), late);
            }
        }
    }

    /**
     * Returns the request that is served next, without removing it.
     *
     * @return the queued request; empty if the queue is empty
     */
    public Optional<QueuedRequest<T>> first() {
        return queue.isEmpty() ? Optional.empty() : Optional.of(queue.first());
    }

    /**
     * Returns the request that is served next after a given one, without removing it.
     *
     * @param queued the given request, which may have been removed, not null
     * @return the queued request; empty if no other follows
     */
    public Optional<QueuedRequest<T>> after(QueuedRequest<T> queued) {
        return Optional.ofNullable(queue.higher(queued));
    }

    /**
     * Removes the requests whose queue timeout has passed.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the removed requests, in queue order
     */
    public List<QueuedRequest<T>> removeExpired(long nowNanos) {
        return removeAll(queued -> nowNanos - queued.expiryNanos() >= 0);
    }

    /**
     * Removes the requests that can no longer be answered on time and to which a condition applies.
     *
     * @param condition the condition, not null
     * @return the removed requests, in queue order
     */
    public List<QueuedRequest<T>> removeLate(Predicate<T> condition) {
        return removeAll(queued -> queued.late() && condition.test(queued.request()));
    }

    /**
     * Removes the requests to which a condition applies.
     *
     * @param condition the condition, not null
     * @return the removed requests, in queue order
     */
    public List<QueuedRequest<T>> removeIf(Predicate<T> condition) {
        return removeAll(queued -> condition.test(queued.request()));
    }

    private List<QueuedRequest<T>> removeAll(Predicate<QueuedRequest<T>> condition) {
        List<QueuedRequest<T>> removed = new ArrayList<>();
        for (QueuedRequest<T> queued : queue) {
            if (condition.test(queued)) {
                removed.add(queued);
            }
        }
        removed.forEach(queued -> remove(queued.request()));
        return removed;
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number
     */
    public int size() {
        return queue.size();
    }
}
