package io.pollenpath.bench.measure;

import io.pollenpath.state.PriorityClass;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Generates the requests of one customer: Poisson arrivals, a mix of priority classes, and prompts
 * whose popular prefixes drift.
 */
final class FakeCallers {

    private static final double URGENT_FRACTION = 0.1;
    private static final double BATCH_FRACTION = 0.3;
    private static final long URGENT_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long NORMAL_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long BATCH_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Simulation simulation;
    private final FakeCustomer customer;
    private final String idPrefix;
    private final SplittableRandom random;
    private final FakePromptGenerator prompts;
    private final boolean alwaysUrgent;
    private final Consumer<FakeRequest> target;
    private double requestsPerSecond;
    private long sentCount;

    FakeCallers(
            Simulation simulation,
            FakeCustomer customer,
            String idPrefix,
            SplittableRandom random,
            boolean alwaysUrgent,
            Consumer<FakeRequest> target) {
        this.simulation = simulation;
        this.customer = customer;
        this.idPrefix = idPrefix;
        this.random = random;
        this.alwaysUrgent = alwaysUrgent;
        this.target = target;
        prompts = new FakePromptGenerator(random.split());
    }

    /** Starts sending at a mean rate, which must be above 0. */
    void start(double newRequestsPerSecond) {
        requestsPerSecond = newRequestsPerSecond;
        scheduleNext();
    }

    private void scheduleNext() {
        double seconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
        simulation.scheduleAfter((long) (seconds * 1e9), this::send);
    }

    private void send() {
        target.accept(next());
        scheduleNext();
    }

    private FakeRequest next() {
        long nowNanos = simulation.nowNanos();
        PriorityClass priority = priority();
        long deadlineNanos = nowNanos + deadlineNanos(priority);
        String id = idPrefix + customer.name() + "-" + sentCount++;
        return new FakeRequest(
                id, customer, priority, prompts.next(nowNanos), nowNanos, deadlineNanos);
    }

    private PriorityClass priority() {
        double draw = random.nextDouble();
        if (alwaysUrgent || draw < URGENT_FRACTION) {
            return PriorityClass.URGENT;
        }
        return draw < URGENT_FRACTION + BATCH_FRACTION ? PriorityClass.BATCH : PriorityClass.NORMAL;
    }

    private static long deadlineNanos(PriorityClass priority) {
        return switch (priority) {
            case URGENT -> URGENT_DEADLINE_NANOS;
            case NORMAL -> NORMAL_DEADLINE_NANOS;
            case BATCH -> BATCH_DEADLINE_NANOS;
        };
    }
}
