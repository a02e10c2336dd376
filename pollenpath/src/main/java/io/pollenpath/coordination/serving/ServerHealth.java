package io.pollenpath.coordination.serving;

import java.util.concurrent.TimeUnit;

/**
 * What one entry knows of the health of one backend server: its own requests in flight, the recent
 * failure rate, and until when the server is avoided.
 */
public final class ServerHealth {

    private static final double OUTCOME_WEIGHT = 0.15;
    private static final long INITIAL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int MAX_DOUBLINGS = 3;

    private int inFlight;
    private double failureRate;
    private int connectionFailures;
    private long avoidUntilNanos = Long.MIN_VALUE;

    /** Records that a request was sent. */
    public void onSent() {
        inFlight++;
    }

    /** Records that a request ended, with or without an answer. */
    public void onEnded() {
        inFlight--;
    }

    /** Records a complete answer. */
    public void onSuccess() {
        connectionFailures = 0;
        failureRate *= 1 - OUTCOME_WEIGHT;
    }

    /** Records that the server answered with a refusal or an error. */
    public void onFailure() {
        failureRate += OUTCOME_WEIGHT * (1 - failureRate);
    }

    /**
     * Records a failed connection. The server is avoided for 400 ms, and for twice as long with
     * each further failure up to 3.2 s, until a complete answer resets the time.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onConnectionFailure(long nowNanos) {
        onFailure();
        avoidUntilNanos =
                nowNanos + (INITIAL_AVOID_NANOS << Math.min(connectionFailures, MAX_DOUBLINGS));
        connectionFailures++;
    }

    /**
     * Returns the number of this entry's requests in flight on the server.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the recent fraction of failed requests, as a moving average.
     *
     * @return the fraction, 0 to 1
     */
    public double failureRate() {
        return failureRate;
    }

    /**
     * Returns whether the server is avoided.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if a connection failed and the time to avoid the server is not over
     */
    public boolean isAvoided(long nowNanos) {
        return nowNanos < avoidUntilNanos;
    }
}
