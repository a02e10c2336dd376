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

/**
 * Simulates sixteen engines with callers that retry until they are served, at a given load and
 * optionally through an outage of all engines.
 */
final class RetriesRun {

    /**
     * A policy for queueing and for retrying refused requests.
     *
     * @param name the name of the policy
     * @param newQueue creates the queue of an engine from a random source
     * @param entryBudget the retries on other engines that an entry may make per first attempt;
     *     negative for no limit
     * @param fixedMs the delay after which a caller resubmits a refused request, in milliseconds; 0
     *     to use the retry-after time of the refusal
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
     * @param policy the queue and retry policy
     * @param load the offered load, as a multiple of the capacity of all engines
     * @param warmUpSeconds the initial time excluded from the metrics, in seconds
     * @param seed the seed of every random choice
     */
    RetriesRun(Policy policy, double load, int warmUpSeconds, long seed) {
        this.policy = policy;
        random = new SplittableRandom(seed);
        countFromNanos = warmUpSeconds * SECOND_NANOS;
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new FakeEngine(i, 0, simulation, policy.newQueue().apply(random.split())));
        }
        double requestsPerSecond = load * FakeCapacity.requestsPerSecond(ENGINES, seed);
        for (FakeCustomer customer : FakeCustomer.TEN) {
            new FakeCallers(simulation, customer, "", random.split(), false, this::first)
                    .start(requestsPerSecond * customer.share());
        }
    }

    void runUntilSecond(int second) {
        simulation.runUntil(second * SECOND_NANOS);
    }

    /** Makes all engines unavailable or available for new requests. */
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

    private void attempt(FakeRequest request, int attemptNumber) {
        attempts += simulation.nowNanos() >= countFromNanos ? 1 : 0;
        request.onDone = () -> done(request);
        request.onRefused = retryAfterMs -> refused(request, attemptNumber, retryAfterMs);
        if (stopped) {
            comeBack(request, RetryAfter.spreadMs(STOP_RETRY_MS, random));
            return;
        }
        FakeEngine engine =
                attemptNumber == 1
                        ? engines.stream().min(Comparator.comparingInt(FakeEngine::load)).get()
                        : engines.get(random.nextInt(ENGINES));
        engine.submit(request);
    }

    private void refused(FakeRequest request, int attemptNumber, int retryAfterMs) {
        lastRefusalNanos = simulation.nowNanos();
        double retryBudget = policy.entryBudget();
        boolean allowed =
                retryBudget < 0 || budgets.of(request.customer.name()).tryRetry(retryBudget);
        if (attemptNumber < MAX_ATTEMPTS && allowed) {
            simulation.after(0, () -> attempt(request, attemptNumber + 1));
        } else {
            comeBack(request, policy.fixedMs() > 0 ? policy.fixedMs() : retryAfterMs);
        }
    }

    /** Resubmits a request after a delay as a new request with a new deadline. */
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
