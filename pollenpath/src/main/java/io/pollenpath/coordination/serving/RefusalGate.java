package io.pollenpath.coordination.serving;

import java.util.concurrent.TimeUnit;

/**
 * Holds back the requests of a service whose servers all refuse, for example while its rank groups
 * form, at any load. A request has few attempts; sent on at once, it would use them up within
 * milliseconds and be refused, and its caller with it. So the requests wait, and one at a time is
 * sent to find out whether a server runs requests again.
 */
public final class RefusalGate {

    /** Refusals in a row, without progress of any request, from which the requests wait. */
    static final int CLOSED_AFTER_REFUSALS = 2;

    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private int refusals;
    private long nextProbeNanos;

    /**
     * Records that a server refused a request without running it.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onRefused(long nowNanos) {
        refusals++;
        if (refusals == CLOSED_AFTER_REFUSALS) {
            nextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
        }
    }

    /** Records that a server made progress on a request. */
    public void onProgress() {
        refusals = 0;
    }

    /**
     * Records that a request is sent.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onSent(long nowNanos) {
        nextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
    }

    /**
     * Returns whether the requests of the service wait.
     *
     * @return true from several refusals in a row until some request makes progress
     */
    public boolean isClosed() {
        return refusals >= CLOSED_AFTER_REFUSALS;
    }

    /**
     * Returns whether a request may be sent now.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true unless the requests wait and the last one was sent a moment ago
     */
    public boolean admits(long nowNanos) {
        return !isClosed() || nowNanos - nextProbeNanos >= 0;
    }
}
