package io.pollenpath.transport.serving;

import java.util.concurrent.TimeUnit;

/**
 * The pauses of a server within one body. A server in trouble may stop and go on with other bytes.
 * If these just fill up the body, nothing tells so until more of them come behind it, after another
 * pause.
 */
final class BodyPauses {

    /** Pieces of a sound answer follow each other sooner. */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final long MAX_WAIT_MS = 1_000;
    private static final int WAIT_PER_PAUSE = 2;

    private boolean counting;
    private long lastPieceNanos;
    private long longestNanos;

    /**
     * Records a piece of the body.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    void onPiece(long nowNanos) {
        long pauseNanos = counting ? nowNanos - lastPieceNanos : 0;
        longestNanos = Math.max(longestNanos, pauseNanos);
        lastPieceNanos = nowNanos;
        counting = true;
    }

    /** Records that the body is not read for now, so that the next pause is not the server's. */
    void onReadingStopped() {
        counting = false;
    }

    /** Returns whether the server has paused. */
    boolean areAny() {
        return longestNanos >= MIN_PAUSE_NANOS;
    }

    /**
     * Returns how long to wait for bytes behind the body.
     *
     * @return the time, in milliseconds; 0 if the server has not paused
     */
    long endWaitMs() {
        long waitMs = WAIT_PER_PAUSE * TimeUnit.NANOSECONDS.toMillis(longestNanos);
        return areAny() ? Math.min(MAX_WAIT_MS, waitMs) : 0;
    }
}
