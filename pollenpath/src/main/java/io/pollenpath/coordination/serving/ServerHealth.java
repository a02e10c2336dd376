package io.pollenpath.coordination.serving;

import java.util.concurrent.TimeUnit;

/**
 * Remembers what one entry has seen of one backend server: its own requests there, recent failures,
 * and until when it avoids the server.
 */
public final class ServerHealth {

    private static final double OUTCOME_WEIGHT = 0.15;
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int MAX_DOUBLINGS = 3;

    private int inFlight;
    private double failureShare;
    private int breaks;
    private long avoidUntilNanos = Long.MIN_VALUE;

    /** Counts a request as sent. */
    public void onSent() {
        inFlight++;
    }

    /** Counts a request as ended, however it ended. */
    public void onEnded() {
        inFlight--;
    }

    /** Takes a whole answer. */
    public void onSuccess() {
        breaks = 0;
        failureShare *= 1 - OUTCOME_WEIGHT;
    }

    /** Takes a refusal or failure that the server itself answered. */
    public void onFailure() {
        failureShare += OUTCOME_WEIGHT * (1 - failureShare);
    }

    /**
     * Takes a broken connection; the server is avoided for a time that doubles with each break.
     *
     * @param nowNanos the present time
     */
    public void onConnectionFailure(long nowNanos) {
        onFailure();
        avoidUntilNanos = nowNanos + (FIRST_PAUSE_NANOS << Math.min(breaks, MAX_DOUBLINGS));
        breaks++;
    }

    /**
     * Returns the own requests that are on the server.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the recent part of failed requests.
     *
     * @return a share from 0 to 1
     */
    public double failureShare() {
        return failureShare;
    }

    /**
     * Tells whether the server is avoided.
     *
     * @param nowNanos the present time
     * @return true for a while after a connection broke
     */
    public boolean isAvoided(long nowNanos) {
        return nowNanos < avoidUntilNanos;
    }
}
