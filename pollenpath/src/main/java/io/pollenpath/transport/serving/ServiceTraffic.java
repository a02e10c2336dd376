package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.AdaptiveConcurrencyLimit;
import io.pollenpath.coordination.serving.ServiceProgress;
import io.pollenpath.coordination.serving.SharedRetryBudget;
import io.pollenpath.coordination.serving.WaitingRequests;
import io.pollenpath.state.serving.EnginePerformance;
import io.pollenpath.state.serving.ServerInstance;
import java.util.List;

/** The queue, limits and traffic statistics of one service in this entry. */
final class ServiceTraffic {

    private static final double INTERVAL_SMOOTHING = 0.1;
    private static final double INITIAL_INTERVAL_MS = 50;

    private final SharedRetryBudget retryBudget;
    private final WaitingRequests<ForwardedRequest> queue = new WaitingRequests<>();
    private final ServiceProgress progress = new ServiceProgress();
    private AdaptiveConcurrencyLimit concurrencyLimit;
    private int inFlight;
    private double meanCompletionIntervalMs = INITIAL_INTERVAL_MS;
    private long lastCompletionNanos;

    ServiceTraffic(SharedRetryBudget retryBudget) {
        this.retryBudget = retryBudget;
    }

    SharedRetryBudget retryBudget() {
        return retryBudget;
    }

    WaitingRequests<ForwardedRequest> queue() {
        return queue;
    }

    int inFlight() {
        return inFlight;
    }

    void onSent() {
        inFlight++;
    }

    void onEnded(long nowNanos) {
        inFlight--;
        if (lastCompletionNanos != 0) {
            double gapMs = (nowNanos - lastCompletionNanos) / 1e6;
            meanCompletionIntervalMs += INTERVAL_SMOOTHING * (gapMs - meanCompletionIntervalMs);
        }
        lastCompletionNanos = nowNanos;
    }

    /** Returns when servers of the service made progress. */
    ServiceProgress progress() {
        return progress;
    }

    /** Estimates the queue time of a request that is queued now. */
    double expectedWaitMs() {
        return meanCompletionIntervalMs * queue.size();
    }

    /** Returns the adaptive limit of concurrent streams, created with the first known step time. */
    AdaptiveConcurrencyLimit concurrencyLimit(EnginePerformance performance) {
        if (concurrencyLimit == null) {
            concurrencyLimit = new AdaptiveConcurrencyLimit(performance.decodeStepMs(0));
        }
        return concurrencyLimit;
    }

    /** Returns the adaptive limit of concurrent streams; 0 if there is none. */
    double concurrencyLimit() {
        boolean limited = concurrencyLimit != null && Double.isFinite(concurrencyLimit.limit());
        return limited ? concurrencyLimit.limit() : 0;
    }

    /** Returns the moving average of the time between events; 0 if there are none. */
    double meanEventGapMs() {
        return concurrencyLimit == null ? 0 : concurrencyLimit.meanGapMs();
    }

    static int totalSlots(List<ServerInstance> servers) {
        int slots = 0;
        for (ServerInstance server : servers) {
            slots += server.slots();
        }
        return slots;
    }
}
