package io.pollenpath.coordination.serving;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * What one entry knows of the health of one backend server: its own requests in flight, the recent
 * failure rate, until when the server is avoided, and what the server said of itself in its
 * answers: that it leaves, or that it wants no requests for a while.
 */
public final class ServerHealth {

    private static final double OUTCOME_WEIGHT = 0.15;
    private static final long INITIAL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int MAX_DOUBLINGS = 3;

    /** The time in which the failure rate of a server without answers falls to its half. */
    private static final double FAILURE_HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The failure rate below which a server counts as well, so that it is tried again. */
    private static final double NEGLIGIBLE_FAILURE_RATE = 0.02;

    private static final double GAP_WEIGHT = 0.3;

    /** The time after which the gap of a server without requests is forgotten. */
    private static final long GAP_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The time after an event in which the gap of its server counts as the present one. */
    private static final long PRESENT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** The time that a stream may take to begin before its server counts as silent. */
    private static final double MAX_START_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** The longest time for which a server is heard that wants no requests. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.MINUTES.toNanos(10);

    private int inFlight;
    private double failureRate;
    private long lastFailureNanos;
    private int connectionFailures;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private long pausedUntilNanos = Long.MIN_VALUE;
    private OptionalLong leavingIncarnation = OptionalLong.empty();
    private double meanGapMs;
    private long lastEventNanos;
    private long busySinceNanos;

    /**
     * Records that a request was sent.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onSent(long nowNanos) {
        busySinceNanos = inFlight == 0 ? nowNanos : busySinceNanos;
        inFlight++;
    }

    /**
     * Records an event of a stream.
     *
     * @param gapMs the time since the event of the stream before it, in milliseconds
     * @param nowNanos the current time, in nanoseconds
     */
    public void onEvent(double gapMs, long nowNanos) {
        boolean known = meanGapMs > 0;
        meanGapMs = known ? meanGapMs + GAP_WEIGHT * (gapMs - meanGapMs) : gapMs;
        lastEventNanos = nowNanos;
    }

    /**
     * Returns the gap between the events of this entry's streams on the server: the recent one, or
     * the present silence of its streams if it is longer. The gap of a server without requests is
     * forgotten after a while, so that it is tried again.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the gap, in milliseconds; 0 if none is known
     */
    public double eventGapMs(long nowNanos) {
        boolean forgotten = inFlight == 0 && nowNanos - lastEventNanos > GAP_MEMORY_NANOS;
        if (meanGapMs == 0 || forgotten) {
            return 0;
        }
        return inFlight == 0 ? meanGapMs : Math.max(meanGapMs, silenceNanos(nowNanos) / 1e6);
    }

    /**
     * Returns whether there was an event a moment ago, so that the gap tells how fast the server is
     * now.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if the gap is the present one
     */
    public boolean isGapPresent(long nowNanos) {
        return meanGapMs > 0 && nowNanos - lastEventNanos <= PRESENT_NANOS;
    }

    private double silenceNanos(long nowNanos) {
        boolean begun = lastEventNanos - busySinceNanos > 0;
        return begun ? nowNanos - lastEventNanos : nowNanos - busySinceNanos - MAX_START_NANOS;
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

    /**
     * Records that the server answered with a refusal or an error. A refusal that names its time is
     * none: the server is expected to be well at its end.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onFailure(long nowNanos) {
        if (pauseNanos(nowNanos) > 0) {
            return;
        }
        double before = failureRate(nowNanos);
        failureRate = before + OUTCOME_WEIGHT * (1 - before);
        lastFailureNanos = nowNanos;
    }

    /**
     * Records that the server has said that it leaves. It may start again with the same identity.
     *
     * @param incarnation the incarnation that leaves
     */
    public void onLeaving(long incarnation) {
        leavingIncarnation = OptionalLong.of(incarnation);
    }

    /**
     * Records that the server has said that it wants no requests for a while. A time above ten
     * minutes counts as ten minutes.
     *
     * @param pauseMs the time, in milliseconds, not negative
     * @param nowNanos the current time, in nanoseconds
     */
    public void onPause(long pauseMs, long nowNanos) {
        long pauseNanos = Math.min(MAX_PAUSE_NANOS, TimeUnit.MILLISECONDS.toNanos(pauseMs));
        pausedUntilNanos = Math.max(pausedUntilNanos, nowNanos + pauseNanos);
    }

    /**
     * Returns whether an incarnation of the server has said that it leaves.
     *
     * @param incarnation the incarnation
     * @return true if it takes no new requests any more
     */
    public boolean isLeaving(long incarnation) {
        return leavingIncarnation.isPresent() && leavingIncarnation.getAsLong() == incarnation;
    }

    /**
     * Returns how long the server wants no requests.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the time, in nanoseconds; 0 if it takes requests
     */
    public long pauseNanos(long nowNanos) {
        return pausedUntilNanos == Long.MIN_VALUE ? 0 : Math.max(0, pausedUntilNanos - nowNanos);
    }

    /**
     * Records a failed connection. The server is avoided for 400 ms, and for twice as long with
     * each further failure up to 3.2 s, until a complete answer resets the time.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onConnectionFailure(long nowNanos) {
        onFailure(nowNanos);
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
     * Returns the recent fraction of failed requests, as a moving average that falls with time, so
     * that a server that is well again is used again.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the fraction, 0 to 1
     */
    public double failureRate(long nowNanos) {
        double halfLives = (nowNanos - lastFailureNanos) / FAILURE_HALF_LIFE_NANOS;
        double rate = failureRate * Math.pow(0.5, Math.max(0, halfLives));
        return rate < NEGLIGIBLE_FAILURE_RATE ? 0 : rate;
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
