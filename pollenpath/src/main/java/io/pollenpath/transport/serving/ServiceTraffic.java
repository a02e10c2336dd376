package io.pollenpath.transport.serving;

import io.pollenpath.coordination.serving.AdaptiveConcurrencyLimit;
import io.pollenpath.coordination.serving.QueueTimeouts;
import io.pollenpath.coordination.serving.ServiceProgress;
import io.pollenpath.coordination.serving.SharedRetryBudget;
import io.pollenpath.coordination.serving.WaitingRequests;
import io.pollenpath.coordination.serving.WaitingRequests.QueuedRequest;
import io.pollenpath.state.serving.EnginePerformance;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServiceSpec;
import io.pollenpath.state.serving.ServingView;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** The queue, limits and traffic statistics of one service in this entry. */
final class ServiceTraffic {

    private static final double INTERVAL_SMOOTHING = 0.1;
    private static final double INITIAL_INTERVAL_MS = 50;

    private final String name;
    private final SharedRetryBudget retryBudget;
    private final WaitingRequests<ForwardedRequest> queue = new WaitingRequests<>();
    private final ServiceProgress progress = new ServiceProgress();
    private AdaptiveConcurrencyLimit concurrencyLimit;
    private int inFlight;
    private double meanCompletionIntervalMs = INITIAL_INTERVAL_MS;
    private long lastCompletionNanos;

    ServiceTraffic(String name, SharedRetryBudget retryBudget) {
        this.name = name;
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

    /** Returns whether a request with its last chance waits for servers that run requests again. */
    boolean awaitsServers(QueuedRequest<ForwardedRequest> queued, long nowNanos) {
        boolean returned = queued.retried() && queued.request().sends() == 0;
        return returned && progress.shouldLastChanceWait(nowNanos);
    }

    /** Returns how long a new request may be expected to queue without being refused at once. */
    long maxExpectedQueueMs(ForwardedRequest request, long nowNanos) {
        return QueueTimeouts.maxExpectedQueueMs(
                request.route(), progress.isStalled(nowNanos), request.timeLeftMs(nowNanos));
    }

    /**
     * Removes the requests that have queued for too long.
     *
     * @param isHeldBack tells the requests that wait for something other than a free server
     * @return the removed requests
     */
    List<QueuedRequest<ForwardedRequest>> removeOverdue(
            Predicate<ForwardedRequest> isHeldBack, long nowNanos) {
        queue.demoteLate(nowNanos);
        List<QueuedRequest<ForwardedRequest>> overdue = queue.removeExpired(nowNanos);
        boolean stalled = progress.isStalled(nowNanos);
        overdue.addAll(queue.removeLate(r -> wouldDelayOthers(r, stalled) && !isHeldBack.test(r)));
        return overdue;
    }

    /** Returns whether a late request would only make others late. */
    private static boolean wouldDelayOthers(ForwardedRequest request, boolean stalled) {
        return request.sends() == 0 && QueueTimeouts.mustBeginOnTime(request.route(), stalled);
    }

    /** Estimates the queue time of a request that is queued now. */
    double expectedWaitMs() {
        return meanCompletionIntervalMs * queue.size();
    }

    /** Records the time between two events of a stream. */
    void onGap(ServingView view, double gapMs, double objectiveMs) {
        concurrencyLimit(view).ifPresent(known -> known.onGap(gapMs, objectiveMs, inFlight));
    }

    /** Returns whether the streams in flight leave room for one more. */
    boolean admits(ServingView view) {
        double equalShare = (double) totalSlots(view.serversOf(name)) / view.liveEntries();
        return concurrencyLimit(view).map(known -> known.admits(inFlight, equalShare)).orElse(true);
    }

    /** Returns the adaptive limit, created with the first known step time. */
    private Optional<AdaptiveConcurrencyLimit> concurrencyLimit(ServingView view) {
        Optional<EnginePerformance> performance =
                view.config()
                        .flatMap(config -> config.service(name))
                        .flatMap(ServiceSpec::performance);
        if (performance.isEmpty()) {
            return Optional.empty();
        }
        if (concurrencyLimit == null) {
            concurrencyLimit = new AdaptiveConcurrencyLimit(performance.get().decodeStepMs(0));
        }
        return Optional.of(concurrencyLimit);
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

    private static int totalSlots(List<ServerInstance> servers) {
        int slots = 0;
        for (ServerInstance server : servers) {
            slots += server.slots();
        }
        return slots;
    }
}
