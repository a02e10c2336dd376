package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.SharedRetryBudget;
import java.util.HashSet;
import java.util.Set;

/**
 * The requests that wait for a server for their retry, and have reserved it in the budget of their
 * service. All calls are made on one event loop.
 */
final class RetryReservations {

    private final Set<ForwardedRequest> waiting = new HashSet<>();

    /**
     * Reserves the retry of a request that was sent before.
     *
     * @return false if the budget does not allow it
     */
    boolean reserve(
            ForwardedRequest request, SharedRetryBudget budget, int liveEntries, long nowNanos) {
        if (request.sends() == 0 || waiting.contains(request)) {
            return true;
        }
        return budget.tryReserve(liveEntries, nowNanos) && waiting.add(request);
    }

    /**
     * Counts the retry of a request that is sent now, if it is one.
     *
     * @return false if the budget does not allow it yet
     */
    boolean count(
            ForwardedRequest request, SharedRetryBudget budget, int liveEntries, long nowNanos) {
        if (!waiting.contains(request)) {
            return true;
        }
        return budget.trySend(liveEntries, nowNanos) && waiting.remove(request);
    }

    /** Gives back what a request that is done has reserved and not used. */
    void release(ForwardedRequest request, SharedRetryBudget budget) {
        if (waiting.remove(request)) {
            budget.release();
        }
    }
}
