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

/** Refuses requests above the part of their contract's limits that this entry may use. */
final class EntryLimits {

    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    private final Map<String, CustomerLimiter> limiters = new ConcurrentHashMap<>();
    private final AllowancePolicy policy = new EqualAllowance();
    private final int liveEntries;

    EntryLimits(int liveEntries) {
        this.liveEntries = liveEntries;
    }

    /** Admits a request until {@link #release}, or throws the refusal. */
    void admit(Contract contract, long nowNanos) {
        double part = policy.fraction(new Demand(liveEntries, 0, 0));
        LimitDecision decision = limiter(contract).admit(contract, part, nowNanos);
        if (!decision.admitted()) {
            throw new ProblemException(
                    new Problem(
                            STATUS_TOO_MANY_REQUESTS,
                            decision.code(),
                            "the customer is at the limit of its contract; come back later",
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
