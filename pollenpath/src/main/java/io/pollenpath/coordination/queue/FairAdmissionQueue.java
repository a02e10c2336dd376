package io.pollenpath.coordination.queue;

import io.pollenpath.coordination.retry.RetryAfter;
import io.pollenpath.state.PriorityClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Serves urgent requests strictly first and, among the urgent and among the other requests, the
 * customers by weighted fair queueing over tokens of work; a customer's normal requests come before
 * its batch requests. Refuses at once what cannot make its deadline; bounds the queue for each
 * customer and in total, where a full queue gives up routine requests of the customer that is
 * furthest above its share, lowest class first.
 */
public final class FairAdmissionQueue implements AdmissionQueue {

    private static final double NANOS_PER_MS = 1e6;

    private record Waiting(WorkItem item, long latestStartNanos, long sequence) {}

    private static final Comparator<Waiting> BY_LATEST_START =
            (a, b) -> {
                int order = Long.signum(a.latestStartNanos() - b.latestStartNanos());
                return order != 0 ? order : Long.compare(a.sequence(), b.sequence());
            };

    private final QueueLimits limits;
    private final RandomGenerator random;
    private final RunningSlots slots;
    private final ServiceRate rate = new ServiceRate();
    private final FairTier urgent;
    private final FairTier routine;
    private final Map<String, Waiting> waiting = new HashMap<>();
    private final Map<String, Integer> countByCustomer = new HashMap<>();
    private final TreeSet<Waiting> byLatestStart = new TreeSet<>(BY_LATEST_START);
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param limits the bounds, not null
     * @param random spreads the times at which refused callers come back, not null
     */
    public FairAdmissionQueue(QueueLimits limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
        slots = new RunningSlots(limits);
        urgent = new FairTier(limits.creditTokens());
        routine = new FairTier(limits.creditTokens());
    }

    private FairTier tierOf(WorkItem item) {
        return item.priority() == PriorityClass.URGENT ? urgent : routine;
    }

    @Override
    public Admission offer(WorkItem item, long nowNanos) {
        double waitNanos = waitNanos(item);
        double runNanos = rate.nanosFor(item.costTokens());
        double leftNanos = item.deadlineNanos() - nowNanos;
        boolean reachable = waitNanos == 0 || waitNanos + runNanos <= leftNanos;
        if (leftNanos <= 0 || !reachable) {
            return Admission.refused(
                    "deadline_unreachable", retryAfterMs(waitNanos + runNanos - leftNanos));
        }
        if (countByCustomer.getOrDefault(item.customer(), 0) >= limits.maxQueuedPerCustomer()) {
            return Admission.refused("customer_queue_full", retryAfterMs(waitNanos));
        }
        long latestStartNanos =
                item.deadlineNanos() - (long) (runNanos <= leftNanos ? runNanos : 0);
        if (waiting.size() < limits.maxQueued()) {
            add(item, latestStartNanos);
            return Admission.ADMITTED;
        }
        return offerToFull(item, latestStartNanos);
    }

    private Admission offerToFull(WorkItem item, long latestStartNanos) {
        Optional<WorkItem> victim = victimFor(item);
        if (victim.isEmpty()) {
            return Admission.refused("queue_full", retryAfterMs(waitNanos(item)));
        }
        remove(victim.get().requestId());
        add(item, latestStartNanos);
        return Admission.displacing(victim.get(), retryAfterMs(waitNanos(victim.get())));
    }

    /** Finds a routine request, or one of a customer further above its share, to give up. */
    private Optional<WorkItem> victimFor(WorkItem item) {
        if (item.priority() == PriorityClass.URGENT && !routine.isEmpty()) {
            return routine.largest().map(CustomerFlow::last);
        }
        FairTier tier = tierOf(item);
        double own = tier.weightedBacklog(item);
        return tier.largest()
                .filter(flow -> !flow.customer.equals(item.customer()))
                .filter(flow -> flow.weightedBacklog() > own)
                .map(CustomerFlow::last);
    }

    private void add(WorkItem item, long latestStartNanos) {
        Waiting entry = new Waiting(item, latestStartNanos, nextSequence++);
        if (waiting.putIfAbsent(item.requestId(), entry) != null) {
            throw new IllegalArgumentException(
                    "request " + item.requestId() + " waits already; attach to it instead");
        }
        byLatestStart.add(entry);
        countByCustomer.merge(item.customer(), 1, Integer::sum);
        tierOf(item).add(item);
    }

    /** Estimates the wait of a new request from the work that is served before it. */
    private double waitNanos(WorkItem item) {
        FairTier tier = tierOf(item);
        double tokens = tier.tokensAhead(item);
        if (tier == routine) {
            tokens += urgent.queuedTokens();
        }
        return rate.nanosFor(tokens) / limits.maxRunning();
    }

    private int retryAfterMs(double nanos) {
        return RetryAfter.jitteredMs(nanos / NANOS_PER_MS, random);
    }

    @Override
    public Optional<WorkItem> poll(long nowNanos) {
        Optional<WorkItem> next = next();
        next.ifPresent(
                item -> {
                    forget(waiting.get(item.requestId()));
                    slots.start(item, nowNanos);
                });
        return next;
    }

    private Optional<WorkItem> next() {
        if (!slots.anyFree()) {
            return Optional.empty();
        }
        if (!urgent.isEmpty()) {
            return urgent.poll(this::mayStartUrgent);
        }
        return slots.openForRoutine() ? routine.poll(flow -> true) : Optional.empty();
    }

    private boolean mayStartUrgent(CustomerFlow flow) {
        return slots.openForUrgent()
                || urgent.hasCredit(flow)
                || slots.runsBelow(flow.customer, urgent.partOf(flow));
    }

    private void forget(Waiting entry) {
        waiting.remove(entry.item().requestId());
        byLatestStart.remove(entry);
        countByCustomer.computeIfPresent(
                entry.item().customer(), (name, count) -> count == 1 ? null : count - 1);
    }

    @Override
    public void completed(String requestId, long nowNanos) {
        slots.end(requestId, rate, nowNanos);
    }

    @Override
    public void updateShare(String customer, double share) {
        if (!(share > 0)) {
            throw new IllegalArgumentException("share is " + share + "; set a value above 0");
        }
        urgent.updateShare(customer, share);
        routine.updateShare(customer, share);
    }

    @Override
    public int retryAfterMs() {
        return retryAfterMs(rate.nanosFor((double) queuedTokens()) / limits.maxRunning());
    }

    @Override
    public double tokensPerSecond() {
        return rate.tokensPerSecond(limits.maxRunning());
    }

    @Override
    public boolean remove(String requestId) {
        Waiting entry = waiting.get(requestId);
        if (entry == null) {
            return false;
        }
        forget(entry);
        tierOf(entry.item()).remove(entry.item());
        return true;
    }

    @Override
    public List<WorkItem> removeExpired(long nowNanos) {
        List<WorkItem> expired = new ArrayList<>();
        while (!byLatestStart.isEmpty()
                && byLatestStart.first().latestStartNanos() - nowNanos <= 0) {
            WorkItem item = byLatestStart.first().item();
            remove(item.requestId());
            expired.add(item);
        }
        return expired;
    }

    @Override
    public int size() {
        return waiting.size();
    }

    @Override
    public long queuedTokens() {
        return urgent.queuedTokens() + routine.queuedTokens();
    }
}
