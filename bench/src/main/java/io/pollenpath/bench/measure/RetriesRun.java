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
     * @param entryRetryBudget the retries on other engines that an entry may make per first
     *     attempt; negative for no limit
     * @param fixedRetryMs the delay after which a caller resubmits a refused request, in
     *     milliseconds; 0 to use the retry-after time of the refusal
     */
    record Policy(
            String name,
            Function<SplittableRandom, AdmissionQueue> newQueue,
            double entryRetryBudget,
            int fixedRetryMs) {}

    private static final int ENGINES = 16;
    private static final int MAX_ATTEMPTS = 3;
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int OUTAGE_RETRY_MS = 1_000;

    private final Simulation simulation = new Simulation();
    private final SplittableRandom random;
    private final List<FakeEngine> engines = new ArrayList<>();
    private final RetryBudgets budgets = new RetryBudgets();
    private final Policy policy;
    private final long measureFromNanos;
    private boolean unavailable;
    private long requests;
    private long attempts;
    private long completedInTime;
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
        measureFromNanos = warmUpSeconds * SECOND_NANOS;
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new FakeEngine(i, 0, simulation, policy.newQueue().apply(random.split())));
        }
        double requestsPerSecond = load * EngineCapacity.requestsPerSecond(ENGINES, seed);
        for (FakeCustomer customer : FakeCustomer.ALL) {
            new FakeCallers(simulation, customer, "", random.split(), false, this::sendFirstAttempt)
                    .start(requestsPerSecond * customer.share());
        }
    }

    void runUntilSecond(int second) {
        simulation.runUntil(second * SECOND_NANOS);
    }

    /** Makes all engines unavailable or available for new requests. */
    void setUnavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
    }

    private void sendFirstAttempt(FakeRequest request) {
        if (simulation.nowNanos() >= measureFromNanos) {
            requests++;
        }
        budgets.of(request.customer.name()).onFirstAttempt(Math.max(0, policy.entryRetryBudget()));
        sendAttempt(request, 1);
    }

    private void sendAttempt(FakeRequest request, int attemptNumber) {
        attempts += simulation.nowNanos() >= measureFromNanos ? 1 : 0;
        request.onDone = () -> handleCompletion(request);
        request.onRefused = retryAfterMs -> handleRefusal(request, attemptNumber, retryAfterMs);
        if (unavailable) {
            resubmitLater(request, RetryAfter.jitteredMs(OUTAGE_RETRY_MS, random));
            return;
        }
        FakeEngine engine =
                attemptNumber == 1
                        ? engines.stream().min(Comparator.comparingInt(FakeEngine::load)).get()
                        : engines.get(random.nextInt(ENGINES));
        engine.submit(request);
    }

    private void handleRefusal(FakeRequest request, int attemptNumber, int retryAfterMs) {
        lastRefusalNanos = simulation.nowNanos();
        double retryBudget = policy.entryRetryBudget();
        boolean allowed =
                retryBudget < 0 || budgets.of(request.customer.name()).tryRetry(retryBudget);
        if (attemptNumber < MAX_ATTEMPTS && allowed) {
            simulation.scheduleAfter(0, () -> sendAttempt(request, attemptNumber + 1));
        } else {
            resubmitLater(
                    request, policy.fixedRetryMs() > 0 ? policy.fixedRetryMs() : retryAfterMs);
        }
    }

    /** Resubmits a request after a delay as a new request with a new deadline. */
    private void resubmitLater(FakeRequest request, int delayMs) {
        simulation.scheduleAfter(
                TimeUnit.MILLISECONDS.toNanos(delayMs),
                () -> sendAttempt(request.resubmittedAt(simulation.nowNanos()), 1));
    }

    private void handleCompletion(FakeRequest request) {
        long nowNanos = simulation.nowNanos();
        if (nowNanos >= measureFromNanos && nowNanos <= request.deadlineNanos) {
            completedInTime++;
        }
    }

    long completedInTime() {
        return completedInTime;
    }

    double attemptsPerRequest() {
        return (double) attempts / requests;
    }

    double lastRefusalSecond() {
        return (double) lastRefusalNanos / SECOND_NANOS;
    }
}
