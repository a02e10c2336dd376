package io.pollenpath.coordination.queue;

import io.pollenpath.state.PriorityClass;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The queued requests of one customer and its virtual start time in fair queueing. Requests are
 * served by priority class, then in order of arrival. Flows compare by virtual start time.
 */
final class CustomerFlow implements Comparable<CustomerFlow> {

    final String customer;
    private final Map<PriorityClass, Map<String, WorkItem>> items =
            new EnumMap<>(PriorityClass.class);
    double share;
    double virtualStart;
    private long queuedTokens;

    CustomerFlow(String customer, double share, double virtualStart) {
        this.customer = customer;
        this.share = share;
        this.virtualStart = virtualStart;
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** Returns the request that is served next; the flow must not be empty. */
    WorkItem head() {
        return items.values().iterator().next().values().iterator().next();
    }

    /** Returns the last arrival of the least urgent class; null if the flow is empty. */
    WorkItem last() {
        WorkItem last = null;
        for (Map<String, WorkItem> sameClass : items.values()) {
            for (WorkItem item : sameClass.values()) {
                last = item;
            }
        }
        return last;
    }

    void add(WorkItem item) {
        items.computeIfAbsent(item.priority(), priority -> new LinkedHashMap<>())
                .put(item.requestId(), item);
        queuedTokens += item.costTokens();
    }

    void remove(WorkItem item) {
        Map<String, WorkItem> sameClass = items.get(item.priority());
        sameClass.remove(item.requestId());
        if (sameClass.isEmpty()) {
            items.remove(item.priority());
        }
        queuedTokens -= item.costTokens();
    }

    long queuedTokens() {
        return queuedTokens;
    }

    /** Returns the queued tokens divided by the customer's weight. */
    double weightedBacklog() {
        return queuedTokens / share;
    }

    @Override
    public int compareTo(CustomerFlow other) {
        int order = Double.compare(virtualStart, other.virtualStart);
        return order != 0 ? order : customer.compareTo(other.customer);
    }
}
