package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.AdaptiveConcurrencyLimit;
import io.pollenpath.coordination.serving.SharedRetryBudget;
import io.pollenpath.coordination.serving.WaitingRequests;
import io.pollenpath.state.serving.EnginePerformance;
import io.pollenpath.state.serving.ServerInstance;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Holds the traffic of this entry to one service. */
final class ServiceTraffic {

    private static final double DRAIN_WEIGHT = 0.1;
    private static final double FIRST_INTERVAL_MS = 50;

    private final SharedRetryBudget budget;
    private final WaitingRequests<ForwardedRequest> waiting = new WaitingRequests<>();
    private AdaptiveConcurrencyLimit limit;
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

    /** Takes that a server of the service has sent something of an answer. */
    void onProgress(long nowNanos) {
        progressNanos = nowNanos;
    }

    /** Returns how long no server has sent anything although requests wait or run. */
    long silentMs(long nowNanos) {
        return progressNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - progressNanos);
    }

    /** Estimates when a request that joins the queue now would be sent. */
    double expectedWaitMs() {
        return intervalMs * waiting.size();
    }

    /** Returns the limit of streams, created with the pace that is known first. */
    AdaptiveConcurrencyLimit limit(EnginePerformance pace) {
        if (limit == null) {
            limit = new AdaptiveConcurrencyLimit(pace.decodeStepMs(0));
        }
        return limit;
    }

    /** Returns the mean pause between events of the last moments; 0 if there are none. */
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
