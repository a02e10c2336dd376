package io.pollenpath.transport.entry;

import io.pollenpath.coordination.limits.AllowancePolicy;
import io.pollenpath.coordination.limits.CustomerLimiter;
import io.pollenpath.coordination.limits.Demand;
import io.pollenpath.coordination.limits.EqualAllowance;
import io.pollenpath.coordination.limits.LimitDecision;
import io.pollenpath.coordination.retry.RetryAfter;
import io.pollenpath.protocol.Problem;
import io.pollenpath.state.Contract;
import io.pollenpath.state.Executed;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Enforces this entry's fraction of the rate and concurrency limits of each customer's contract.
 */
final class EntryLimiter {

    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    private final Map<String, CustomerLimiter> limiters = new ConcurrentHashMap<>();
    private final AllowancePolicy policy = new EqualAllowance();
    private final int liveEntries;

    EntryLimiter(int liveEntries) {
        this.liveEntries = liveEntries;
    }

    /**
     * Admits a request, which counts as running until {@link #release}.
     *
     * @throws ProblemException if the customer is at a limit of its contract
     */
    void admit(Contract contract, long nowNanos) {
        double fraction = policy.fraction(new Demand(liveEntries, 0, 0));
        LimitDecision decision = limiter(contract).admit(contract, fraction, nowNanos);
        if (!decision.admitted()) {
            throw new ProblemException(
                    new Problem(
                            STATUS_TOO_MANY_REQUESTS,
                            decision.code(),
                            "the customer is at the limit of its contract; retry later",
                            Executed.NO,
                            RetryAfter.jitteredMs(decision.waitMs(), ThreadLocalRandom.current())));
        }
    }

    void release(Contract contract) {
        limiter(contract).release();
    }

    private CustomerLimiter limiter(Contract contract) {
        return limiters.computeIfAbsent(contract.customer(), name -> new CustomerLimiter());
    }
}
