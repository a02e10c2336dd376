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
 * Admission queue with two tiers: urgent requests, which are served strictly first, and routine
 * (normal and batch) requests. Within each tier, customers share the server by weighted fair
 * queueing over tokens of work, and a customer's normal requests are served before its batch
 * requests.
 *
 * <p>A request that is not expected to meet its deadline is refused immediately. The queue is
 * bounded per customer and in total. When it is full, an urgent request displaces a routine one if
 * there is any; otherwise a request displaces one of the same tier, of a customer whose backlog is
 * larger for its weight. The displaced request is the last arrival in the lowest class of the
 * customer with the largest weighted backlog.
 */
public final class FairAdmissionQueue implements AdmissionQueue {

    private static final double NANOS_PER_MS = 1e6;

    private record QueuedItem(WorkItem item, long latestStartNanos, long sequence) {}

    private static final Comparator<QueuedItem> BY_LATEST_START =
            (a, b) -> {
                int order = Long.signum(a.latestStartNanos() - b.latestStartNanos());
                return order != 0 ? order : Long.compare(a.sequence(), b.sequence());
            };

    private final QueueLimits limits;
    private final RandomGenerator random;
    private final RunningSlots slots;
    private final ServiceRate serviceRate = new ServiceRate();
    private final FairTier urgent;
    private final FairTier routine;
    private final Map<String, QueuedItem> queuedById = new HashMap<>();
    private final Map<String, Integer> countByCustomer = new HashMap<>();
    private final TreeSet<QueuedItem> byLatestStart = new TreeSet<>(BY_LATEST_START);
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param limits the bounds, not null
     * @param random source of the jitter of retry delays, not null
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
        double runNanos = serviceRate.nanosFor(item.costTokens());
        double timeLeftNanos = item.deadlineNanos() - nowNanos;
        boolean reachable = waitNanos == 0 || waitNanos + runNanos <= timeLeftNanos;
        if (timeLeftNanos <= 0 || !reachable) {
            return Admission.refused(
                    "deadline_unreachable", retryAfterMs(waitNanos + runNanos - timeLeftNanos));
        }
        if (countByCustomer.getOrDefault(item.customer(), 0) >= limits.maxQueuedPerCustomer()) {
            return Admission.refused("customer_queue_full", retryAfterMs(waitNanos));
        }
        long latestStartNanos =
                item.deadlineNanos() - (long) (runNanos <= timeLeftNanos ? runNanos : 0);
        if (queuedById.size() < limits.maxQueued()) {
            add(item, latestStartNanos);
            return Admission.ADMITTED;
        }
        return offerToFullQueue(item, latestStartNanos);
    }

    private Admission offerToFullQueue(WorkItem item, long latestStartNanos) {
        Optional<WorkItem> displaceable = findDisplaceable(item);
        if (displaceable.isEmpty()) {
            return Admission.refused("queue_full", retryAfterMs(waitNanos(item)));
        }
        remove(displaceable.get().requestId());
        add(item, latestStartNanos);
        return Admission.displacing(
                displaceable.get(), retryAfterMs(waitNanos(displaceable.get())));
    }

    /**
     * Finds the request to displace: a routine one for an urgent request, otherwise one of another
     * customer in the same tier with a larger weighted backlog; empty if there is none.
     */
    private Optional<WorkItem> findDisplaceable(WorkItem item) {
        if (item.priority() == PriorityClass.URGENT && !routine.isEmpty()) {
            return routine.largestBacklog().map(CustomerFlow::last);
        }
        FairTier tier = tierOf(item);
        double ownBacklog = tier.weightedBacklog(item);
        return tier.largestBacklog()
                .filter(flow -> !flow.customer.equals(item.customer()))
                .filter(flow -> flow.weightedBacklog() > ownBacklog)
                .map(CustomerFlow::last);
    }

    private void add(WorkItem item, long latestStartNanos) {
        QueuedItem entry = new QueuedItem(item, latestStartNanos, nextSequence++);
        if (queuedById.putIfAbsent(item.requestId(), entry) != null) {
            throw new IllegalArgumentException(
                    "request " + item.requestId() + " is already queued; attach to it instead");
        }
        byLatestStart.add(entry);
        countByCustomer.merge(item.customer(), 1, Integer::sum);
        tierOf(item).add(item);
    }

    /** Estimates the queueing delay of a new request from the work that is served before it. */
    private double waitNanos(WorkItem item) {
        FairTier tier = tierOf(item);
        double tokens = tier.tokensAhead(item);
        if (tier == routine) {
            tokens += urgent.queuedTokens();
        }
        return serviceRate.nanosFor(tokens) / limits.maxRunning();
    }

    private int retryAfterMs(double nanos) {
        return RetryAfter.jitteredMs(nanos / NANOS_PER_MS, random);
    }

    @Override
    public Optional<WorkItem> poll(long nowNanos) {
        Optional<WorkItem> next = next();
        next.ifPresent(
                item -> {
                    untrack(queuedById.get(item.requestId()));
                    slots.start(item, nowNanos);
                });
        return next;
    }

    private Optional<WorkItem> next() {
        if (!slots.hasFree()) {
            return Optional.empty();
        }
        if (!urgent.isEmpty()) {
            return urgent.poll(this::mayStartUrgent);
        }
        return slots.admitsRoutine() ? routine.poll(flow -> true) : Optional.empty();
    }

    private boolean mayStartUrgent(CustomerFlow flow) {
        return slots.admitsUrgent()
                || urgent.hasCredit(flow)
                || slots.isBelowShare(flow.customer, urgent.weightFraction(flow));
    }

    private void untrack(QueuedItem entry) {
        queuedById.remove(entry.item().requestId());
        byLatestStart.remove(entry);
        countByCustomer.computeIfPresent(
                entry.item().customer(), (name, count) -> count == 1 ? null : count - 1);
    }

    @Override
    public void completed(String requestId, long nowNanos) {
        slots.end(requestId, serviceRate, nowNanos);
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
        return retryAfterMs(serviceRate.nanosFor((double) queuedTokens()) / limits.maxRunning());
    }

    @Override
    public double tokensPerSecond() {
        return serviceRate.tokensPerSecond(limits.maxRunning());
    }

    @Override
    public boolean remove(String requestId) {
        QueuedItem entry = queuedById.get(requestId);
        if (entry == null) {
            return false;
        }
        untrack(entry);
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
        return queuedById.size();
    }

    @Override
    public long queuedTokens() {
        return urgent.queuedTokens() + routine.queuedTokens();
    }
}
