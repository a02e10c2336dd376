package io.pollenpath.coordination.queue;

import io.pollenpath.state.PriorityClass;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the occupied slots of the backend server and decides which requests may take a free one.
 * Some slots are reserved for urgent requests, and some for urgent requests of customers within
 * their share, so that neither routine requests nor one customer's urgent requests delay the urgent
 * requests of another.
 */
final class RunningSlots {

    private record Run(WorkItem item, long startNanos) {}

    private static final double MIN_SHARE_SLOTS = 2;

    private final QueueLimits limits;
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Integer> urgentByCustomer = new HashMap<>();
    private int urgentRuns;

    RunningSlots(QueueLimits limits) {
        this.limits = limits;
    }

    private int freeSlots() {
        return limits.maxRunning() - runs.size();
    }

    boolean hasFree() {
        return freeSlots() > 0;
    }

    boolean admitsRoutine() {
        return freeSlots() > limits.urgentSlots();
    }

    /** Returns whether an urgent request may start regardless of its customer's share. */
    boolean admitsUrgent() {
        return urgentRuns < limits.maxRunning() - limits.creditSlots();
    }

    /** Returns whether a customer runs fewer urgent requests than its fraction of the slots. */
    boolean isBelowShare(String customer, double fraction) {
        double shareSlots = Math.max(MIN_SHARE_SLOTS, limits.maxRunning() * fraction);
        return urgentByCustomer.getOrDefault(customer, 0) < shareSlots;
    }

    void start(WorkItem item, long nowNanos) {
        runs.put(item.requestId(), new Run(item, nowNanos));
        if (isUrgent(item)) {
            urgentRuns++;
            urgentByCustomer.merge(item.customer(), 1, Integer::sum);
        }
    }

    /** Frees the slot of a request and adds its duration to the service rate. */
    void end(String requestId, ServiceRate rate, long nowNanos) {
        Run run = runs.remove(requestId);
        if (run == null) {
            return;
        }
        rate.record(run.item().costTokens(), nowNanos - run.startNanos());
        if (isUrgent(run.item())) {
            urgentRuns--;
            urgentByCustomer.computeIfPresent(
                    run.item().customer(), (name, count) -> count == 1 ? null : count - 1);
        }
    }

    private static boolean isUrgent(WorkItem item) {
        return item.priority() == PriorityClass.URGENT;
    }
}
