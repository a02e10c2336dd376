package io.pollenpath.bench.measure;

import io.pollenpath.coordination.queue.AdmissionQueue;
import io.pollenpath.coordination.retry.RetryAfter;
import io.pollenpath.coordination.retry.RetryBudgets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Runs callers that never give up against sixteen engines, at a load and through a full stop. */
final class RetriesRun {

    /**
     * Describes how refused requests are repeated.
     *
     * @param name the name of the policy
     * @param newQueue creates the queue of an engine
     * @param entryBudget the retries elsewhere for each first attempt; negative for no bound
     * @param fixedMs when a caller comes back, in milliseconds; 0 for as it is told
     */
    record Policy(
            String name,
            Function<SplittableRandom, AdmissionQueue> newQueue,
            double entryBudget,
            int fixedMs) {}

    private static final int ENGINES = 16;
    private static final int MAX_ATTEMPTS = 3;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int STOP_RETRY_MS = 1_000;

    private final Simulation simulation = new Simulation();
    private final SplittableRandom random;
    private final List<FakeEngine> engines = new ArrayList<>();
    private final RetryBudgets budgets = new RetryBudgets();
    private final Policy policy;
    private final long countFromNanos;
    private boolean stopped;
    private long sent;
    private long attempts;
    private long inTime;
    private long lastRefusalNanos;

    /**
     * Creates a run.
     *
     * @param policy how refused requests are repeated
     * @param load the offered load over the capacity
     * @param warmUpSeconds the time that is not counted, in seconds
     * @param seed the seed of every random choice
     */
    RetriesRun(Policy policy, double load, int warmUpSeconds, long seed) {
        this.policy = policy;
        random = new SplittableRandom(seed);
        countFromNanos = warmUpSeconds * SECOND_NANOS;
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new FakeEngine(i, 0, simulation, policy.newQueue().apply(random.split())));
        }
        double rate = load * FakeCapacity.requestsPerSecond(ENGINES, seed);
        for (FakeCustomer customer : FakeCustomer.TEN) {
            new FakeCallers(simulation, customer, "", random.split(), false, this::first)
                    .start(rate * customer.share());
        }
    }

    void runUntilSecond(int second) {
        simulation.runUntil(second * SECOND_NANOS);
    }

    /** Stops or opens all engines for new requests. */
    void setStopped(boolean newStopped) {
        stopped = newStopped;
    }

    private void first(FakeRequest request) {
        if (simulation.nowNanos() >= countFromNanos) {
            sent++;
        }
        budgets.of(request.customer.name()).onFirstAttempt(Math.max(0, policy.entryBudget()));
        attempt(request, 1);
    }

    private void attempt(FakeRequest request, int number) {
        attempts += simulation.nowNanos() >= countFromNanos ? 1 : 0;
        request.onDone = () -> done(request);
        request.onRefused = retryAfterMs -> refused(request, number, retryAfterMs);
        if (stopped) {
            comeBack(request, RetryAfter.jitteredMs(STOP_RETRY_MS, random));
            return;
        }
        FakeEngine engine =
                number == 1
                        ? engines.stream().min(Comparator.comparingInt(FakeEngine::load)).get()
                        : engines.get(random.nextInt(ENGINES));
        engine.submit(request);
    }

    private void refused(FakeRequest request, int number, int retryAfterMs) {
        lastRefusalNanos = simulation.nowNanos();
        double budget = policy.entryBudget();
        boolean allowed = budget < 0 || budgets.of(request.customer.name()).tryRetry(budget);
        if (number < MAX_ATTEMPTS && allowed) {
            simulation.after(0, () -> attempt(request, number + 1));
        } else {
            comeBack(request, policy.fixedMs() > 0 ? policy.fixedMs() : retryAfterMs);
        }
    }

    /** Lets the caller send its request again as a new one, with a new deadline. */
    private void comeBack(FakeRequest request, int delayMs) {
        simulation.after(
                TimeUnit.MILLISECONDS.toNanos(delayMs),
                () -> attempt(request.again(simulation.nowNanos()), 1));
    }

    private void done(FakeRequest request) {
        long nowNanos = simulation.nowNanos();
        if (nowNanos >= countFromNanos && nowNanos <= request.deadlineNanos) {
            inTime++;
        }
    }

    long inTime() {
        return inTime;
    }

    double attemptsPerRequest() {
        return (double) attempts / sent;
    }

    double lastRefusalSecond() {
        return (double) lastRefusalNanos / SECOND_NANOS;
    }
}
