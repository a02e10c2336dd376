package io.pollenpath.coordination.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Serves the customers of one tier by start-time fair queueing over tokens of work: each served
 * request advances its customer's virtual start time by its tokens divided by the customer's
 * weight, and the customer with the earliest virtual start time is served next.
 *
 * <p>A customer that used less than its share keeps a bounded credit: when it becomes backlogged
 * again, its start time may be up to that credit before the tier's virtual time. A burst within its
 * contract is then served before the backlog of a customer above its share.
 */
final class FairTier {

    private final double creditTokens;
    private final Map<String, CustomerFlow> flows = new HashMap<>();
    private final TreeSet<CustomerFlow> backlogged = new TreeSet<>();
    private double virtualTime;
    private long queuedTokens;

    /** Creates an empty tier with the given credit limit, in tokens of a customer of weight 1. */
    FairTier(double creditTokens) {
        this.creditTokens = creditTokens;
    }

    void add(WorkItem item) {
        CustomerFlow flow =
                flows.computeIfAbsent(
                        item.customer(), name -> new CustomerFlow(name, item.share(), virtualTime));
        flow.share = item.share();
        if (flow.isEmpty()) {
            flow.virtualStart = Math.max(flow.virtualStart, virtualTime - creditTokens);
            backlogged.add(flow);
        }
        flow.add(item);
        queuedTokens += item.costTokens();
    }

    /**
     * Removes the next request of the customer with the earliest virtual start time among those
     * that may start.
     */
    Optional<WorkItem> poll(Predicate<CustomerFlow> mayStart) {
        for (CustomerFlow flow : backlogged) {
            if (mayStart.test(flow)) {
                return Optional.of(serve(flow));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a customer recently used less than its share: its virtual start time is
     * before the tier's virtual time.
     */
    boolean hasCredit(CustomerFlow flow) {
        return flow.virtualStart < virtualTime;
    }

    /** Returns a customer's weight as a fraction of the weights of all customers seen so far. */
    double weightFraction(CustomerFlow flow) {
        double totalWeight = 0;
        for (CustomerFlow known : flows.values()) {
            totalWeight += known.share;
        }
        return flow.share / totalWeight;
    }

    private WorkItem serve(CustomerFlow flow) {
        WorkItem item = flow.head();
        // The virtual time follows the first backlogged flow, not the served one: a customer that
        // joins later must not be queued behind flows that mayStart skipped.
        virtualTime = Math.max(virtualTime, backlogged.first().virtualStart);
        backlogged.remove(flow);
        flow.virtualStart += Math.max(1, item.costTokens()) / flow.share;
        removeFrom(flow, item);
        if (!flow.isEmpty()) {
            backlogged.add(flow);
        }
        return item;
    }

    private void removeFrom(CustomerFlow flow, WorkItem item) {
        flow.remove(item);
        queuedTokens -= item.costTokens();
    }

    void remove(WorkItem item) {
        CustomerFlow flow = flows.get(item.customer());
        removeFrom(flow, item);
        if (flow.isEmpty()) {
            backlogged.remove(flow);
        }
    }

    void updateShare(String customer, double share) {
        CustomerFlow flow = flows.get(customer);
        if (flow != null) {
            flow.share = share;
        }
    }

    /**
     * Returns the queued tokens that fair queueing serves until a new request finishes, without its
     * own.
     */
    double tokensAhead(WorkItem item) {
        CustomerFlow own = flows.get(item.customer());
        double ownTokens = own == null ? 0 : (double) own.queuedTokens();
        double finish = (ownTokens + item.costTokens()) / item.share();
        double ahead = ownTokens;
        for (CustomerFlow flow : backlogged) {
            if (flow != own) {
                ahead += Math.min((double) flow.queuedTokens(), finish * flow.share);
            }
        }
        return ahead;
    }

    /** Returns the customer with the largest weighted backlog. */
    Optional<CustomerFlow> largestBacklog() {
        return backlogged.stream().max(Comparator.comparingDouble(CustomerFlow::weightedBacklog));
    }

    double weightedBacklog(WorkItem item) {
        CustomerFlow flow = flows.get(item.customer());
        long tokens = flow == null ? 0 : flow.queuedTokens();
        return (tokens + item.costTokens()) / item.share();
    }

    boolean isEmpty() {
        return backlogged.isEmpty();
    }

    long queuedTokens() {
        return queuedTokens;
    }
}
