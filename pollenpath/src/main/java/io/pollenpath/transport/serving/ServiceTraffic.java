package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.PassTimeLimit;
import io.pollenpath.coordination.serving.SharedRetryBudget;
import io.pollenpath.coordination.serving.WaitingRequests;
import io.pollenpath.state.serving.EnginePace;
import io.pollenpath.state.serving.ServerInstance;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The queue, limits and traffic statistics of one service in this entry. */
final class ServiceTraffic {

    private static final double DRAIN_WEIGHT = 0.1;
    private static final double FIRST_INTERVAL_MS = 50;

    private final SharedRetryBudget budget;
    private final WaitingRequests<ForwardedRequest> waiting = new WaitingRequests<>();
    private PassTimeLimit limit;
    private int inFlight;
    private double intervalMs = FIRST_INTERVAL_MS;
    private long lastEndNanos;
    private long progressNanos;

    ServiceTraffic(SharedRetryBudget budget) {
        this.budget = budget;
    }

    SharedRetryBudget budget() {
        return budget;
    }

    WaitingRequests<ForwardedRequest> waiting() {
        return waiting;
    }

    int inFlight() {
        return inFlight;
    }

    void onSent() {
        inFlight++;
    }

    void onEnded(long nowNanos) {
        inFlight--;
        if (lastEndNanos != 0) {
            double gapMs = (nowNanos - lastEndNanos) / 1e6;
            intervalMs += DRAIN_WEIGHT * (gapMs - intervalMs);
        }
        lastEndNanos = nowNanos;
    }

    /** Records that a server of the service has made progress on a request. */
    void onProgress(long nowNanos) {
        progressNanos = nowNanos;
    }

    /** Returns the time since a server last made progress; 0 before the first progress. */
    long silentMs(long nowNanos) {
        return progressNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - progressNanos);
    }

    /** Estimates the queue time of a request that is queued now. */
    double expectedWaitMs() {
        return intervalMs * waiting.size();
    }

    /** Returns the adaptive limit of concurrent streams, created with the first known step time. */
    PassTimeLimit limit(EnginePace pace) {
        if (limit == null) {
            limit = new PassTimeLimit(pace.passMs(0));
        }
        return limit;
    }

    /** Returns the moving average of the time between events; 0 if there are none. */
    double pauseMs() {
        return limit == null ? 0 : limit.meanGapMs();
    }

    static int totalSlots(List<ServerInstance> servers) {
        int slots = 0;
        for (ServerInstance server : servers) {
            slots += server.slots();
        }
        return slots;
    }
}
