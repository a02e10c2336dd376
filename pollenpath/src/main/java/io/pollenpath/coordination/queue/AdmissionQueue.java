package io.pollenpath.coordination.queue;

import java.util.List;
import java.util.Optional;

/** Queue of the requests that wait at a side process; decides which one runs next. */
public interface AdmissionQueue {

    /** Retry delay of a queue that does not estimate its drain time, in milliseconds. */
    int DEFAULT_RETRY_AFTER_MS = 1_000;

    /**
     * Queues or refuses a request.
     *
     * @param item the request, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the decision; a refusal has the time after which to retry
     */
    Admission offer(WorkItem item, long nowNanos);

    /**
     * Removes the request that runs next and gives it a slot.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the request, or empty if none is queued or none may take a slot now
     */
    Optional<WorkItem> poll(long nowNanos);

    /**
     * Records that a request returned by {@link #poll} has ended, and frees its slot. Unknown
     * requests are ignored.
     *
     * @param requestId the request, not null
     * @param nowNanos the current time, in nanoseconds
     */
    default void completed(String requestId, long nowNanos) {}

    /**
     * Applies a customer's changed weight, also to its queued requests. Unknown customers are
     * ignored.
     *
     * @param customer the customer, not null
     * @param share the weight, positive
     */
    default void updateShare(String customer, double share) {}

    /**
     * Estimates the throughput of the backend server.
     *
     * @return the rate, in tokens per second; 0 before the first completed request
     */
    default double tokensPerSecond() {
        return 0;
    }

    /**
     * Returns how long the caller of a removed request should wait before it retries.
     *
     * @return the expected time until the queue has capacity, in milliseconds
     */
    default int retryAfterMs() {
        return DEFAULT_RETRY_AFTER_MS;
    }

    /**
     * Removes a queued request, for example of a disconnected caller.
     *
     * @param requestId the request, not null
     * @return true if it was queued
     */
    boolean remove(String requestId);

    /**
     * Removes the requests that can no longer meet their deadline.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the removed requests
     */
    List<WorkItem> removeExpired(long nowNanos);

    /**
     * Returns the number of queued requests.
     *
     * @return the number of requests
     */
    int size();

    /**
     * Returns the estimated work of all queued requests.
     *
     * @return the work, in tokens
     */
    long queuedTokens();
}
