package io.pollenpath.coordination.queue;

import io.pollenpath.state.PriorityClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Serves requests strictly by priority class and in order of arrival within a class; a baseline for
 * comparisons.
 */
public final class StrictPriorityQueue implements AdmissionQueue {

    private static final int RETRY_AFTER_FULL_MS = 1_000;

    private final int maxSize;
    private final Map<PriorityClass, Deque<WorkItem>> queues = new EnumMap<>(PriorityClass.class);
    private int size;
    private long queuedTokens;

    /**
     * Creates an empty queue.
     *
     * @param maxSize the maximum number of queued requests, at least 1
     * @throws IllegalArgumentException if maxSize is below 1
     */
    public StrictPriorityQueue(int maxSize) {
        if (maxSize < 1) {
            throw new IllegalArgumentException("maxSize is " + maxSize + "; set at least 1");
        }
        this.maxSize = maxSize;
        for (PriorityClass priority : PriorityClass.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    @Override
    public Admission offer(WorkItem item, long nowNanos) {
        if (size >= maxSize) {
            return Admission.refused("queue_full", RETRY_AFTER_FULL_MS);
        }
        if (item.deadlineNanos() - nowNanos <= 0) {
            return Admission.refused("deadline_exceeded", RETRY_AFTER_FULL_MS);
        }
        queues.get(item.priority()).addLast(item);
        size++;
        queuedTokens += item.costTokens();
        return Admission.ADMITTED;
    }

    @Override
    public Optional<WorkItem> poll(long nowNanos) {
        for (Deque<WorkItem> queue : queues.values()) {
            WorkItem item = queue.pollFirst();
            if (item != null) {
                onRemoved(item);
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    @Override
    public boolean remove(String requestId) {
        for (Deque<WorkItem> queue : queues.values()) {
            for (Iterator<WorkItem> it = queue.iterator(); it.hasNext(); ) {
                WorkItem item = it.next();
                if (item.requestId().equals(requestId)) {
                    it.remove();
                    onRemoved(item);
                    return true;
                }
            }
        }
        return false;
    }

    @Override
    public List<WorkItem> removeExpired(long nowNanos) {
        List<WorkItem> expired = new ArrayList<>();
        for (Deque<WorkItem> queue : queues.values()) {
            for (Iterator<WorkItem> it = queue.iterator(); it.hasNext(); ) {
                WorkItem item = it.next();
                if (item.deadlineNanos() - nowNanos <= 0) {
                    it.remove();
                    onRemoved(item);
                    expired.add(item);
                }
            }
        }
        return expired;
    }

    private void onRemoved(WorkItem item) {
        size--;
        queuedTokens -= item.costTokens();
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public long queuedTokens() {
        return queuedTokens;
    }
}
