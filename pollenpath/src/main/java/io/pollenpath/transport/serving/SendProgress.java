package io.pollenpath.transport.serving;

import java.util.concurrent.TimeUnit;

/**
 * When a request was first sent, when a server last made progress on it, as far as the answer is
 * read, and when its events came.
 */
final class SendProgress {

    private long firstSentNanos;
    private long lastProgressNanos;
    private long firstEventNanos;
    private long lastEventNanos;
    private long longestGapNanos;
    private boolean readingPaused;

    /** Records that the request is about to be sent, or is written. */
    void onSend(long nowNanos) {
        firstSentNanos = firstSentNanos == 0 ? nowNanos : firstSentNanos;
        lastProgressNanos = nowNanos;
        readingPaused = false;
    }

    /** Records that the server has sent something new. */
    void onProgress(long nowNanos) {
        lastProgressNanos = nowNanos;
    }

    /**
     * Records an event of a stream.
     *
     * @return the time since the event before it, in nanoseconds; 0 if there was none, or if the
     *     answer was not read for a while between the two
     */
    long onEvent(long nowNanos) {
        long gapNanos = lastEventNanos == 0 ? 0 : nowNanos - lastEventNanos;
        firstEventNanos = firstEventNanos == 0 ? nowNanos : firstEventNanos;
        lastEventNanos = nowNanos;
        longestGapNanos = Math.max(longestGapNanos, gapNanos);
        return gapNanos;
    }

    /** Records that the answer is read or, since the caller takes no more, is not. */
    void setReading(boolean reading, long nowNanos) {
        if (reading && readingPaused) {
            lastProgressNanos = nowNanos;
            lastEventNanos = 0;
        }
        readingPaused = !reading;
    }

    /** Returns the time that a request was queued before its first send. */
    long queuedMs(long arrivedNanos, long nowNanos) {
        long endNanos = firstSentNanos == 0 ? nowNanos : firstSentNanos;
        return TimeUnit.NANOSECONDS.toMillis(endNanos - arrivedNanos);
    }

    /** Returns the time from the arrival of a request to its first event; 0 without events. */
    long firstEventMs(long arrivedNanos) {
        return firstEventNanos == 0
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(firstEventNanos - arrivedNanos);
    }

    /** Returns the longest time between two events; 0 with fewer than two. */
    long longestGapMs() {
        return TimeUnit.NANOSECONDS.toMillis(longestGapNanos);
    }

    /** Returns the time since the last progress; 0 while the answer is not read. */
    long silenceMs(long nowNanos) {
        return readingPaused ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - lastProgressNanos);
    }
}
