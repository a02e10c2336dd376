package io.pollenpath.coordination.queue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Serves requests in order of arrival, regardless of class and customer; a baseline for
 * comparisons.
 */
public final class FifoQueue implements AdmissionQueue {

    private static final int RETRY_AFTER_FULL_MS = 1_000;

    private final int maxSize;
    private final Map<String, WorkItem> items = new LinkedHashMap<>();
    private long queuedTokens;

    /**
     * Creates an empty queue.
     *
     * @param maxSize the maximum number of queued requests, at least 1
     * @throws IllegalArgumentException if maxSize is below 1
     */
    public FifoQueue(int maxSize) {
        if (maxSize < 1) {
            throw new IllegalArgumentException("maxSize is " + maxSize + "; set at least 1");
        }
        this.maxSize = maxSize;
    }

    @Override
    public Admission offer(WorkItem item, long nowNanos) {
        if (items.size() >= maxSize) {
            return Admission.refused("queue_full", RETRY_AFTER_FULL_MS);
        }
        if (item.deadlineNanos() - nowNanos <= 0) {
            return Admission.refused("deadline_exceeded", RETRY_AFTER_FULL_MS);
        }
        items.put(item.requestId(), item);
        queuedTokens += item.costTokens();
        return Admission.ADMITTED;
    }

    @Override
    public Optional<WorkItem> poll(long nowNanos) {
        if (items.isEmpty()) {
            return Optional.empty();
        }
        WorkItem first = items.values().iterator().next();
        remove(first.requestId());
        return Optional.of(first);
    }

    @Override
    public boolean remove(String requestId) {
        WorkItem item = items.remove(requestId);
        if (item == null) {
            return false;
        }
        queuedTokens -= item.costTokens();
        return true;
    }

    @Override
    public List<WorkItem> removeExpired(long nowNanos) {
        List<WorkItem> expired = new ArrayList<>();
        for (WorkItem item : items.values()) {
            if (item.deadlineNanos() - nowNanos <= 0) {
                expired.add(item);
            }
        }
        expired.forEach(item -> remove(item.requestId()));
        return expired;
    }

    @Override
    public int size() {
        return items.size();
    }

    @Override
    public long queuedTokens() {
        return queuedTokens;
    }
}
