package io.pollenpath.coordination.serving;

import java.util.concurrent.TimeUnit;

/**
 * When the servers of one service last made progress on a request of this entry. Tells a service
 * that stands, since its rank groups form or nothing reaches it, from one that is only full.
 */
public final class ServiceProgress {

    /**
     * Time without any progress after which a service counts as stalled, in milliseconds. The
     * length of its queue does not predict then when a server is free.
     */
    static final long STALL_MS = 700;

    /**
     * Time after a refusal in which the servers of a stalled service are expected to refuse again,
     * in milliseconds.
     */
    static final long REFUSAL_MEMORY_MS = 300;

    private boolean anyProgress;
    private long lastProgressNanos;
    private boolean anyRefusal;
    private long lastRefusalNanos;

    /**
     * Records that a server has made progress on a request.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onProgress(long nowNanos) {
        anyProgress = true;
        lastProgressNanos = nowNanos;
    }

    /**
     * Records that a server has refused a request without running it.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onRefused(long nowNanos) {
        anyRefusal = true;
        lastRefusalNanos = nowNanos;
    }

    /**
     * Returns whether a request should wait that gets no further chance after a refusal, since its
     * caller has returned already. Requests of other callers show when servers run requests again;
     * without those, one is sent at intervals.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true while the service is stalled and a server has refused a request a moment ago
     */
    public boolean shouldLastChanceWait(long nowNanos) {
        long sinceRefusalMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastRefusalNanos);
        return isStalled(nowNanos) && anyRefusal && sinceRefusalMs < REFUSAL_MEMORY_MS;
    }

    /**
     * Returns whether the service is stalled. An entry that has just started and has seen no
     * progress yet knows no reason to expect any soon.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true without progress for a while, or since the start of the entry
     */
    public boolean isStalled(long nowNanos) {
        long silentMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastProgressNanos);
        return !anyProgress || silentMs >= STALL_MS;
    }
}
