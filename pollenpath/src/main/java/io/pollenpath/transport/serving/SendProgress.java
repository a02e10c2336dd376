package io.pollenpath.transport.serving;

import java.util.concurrent.TimeUnit;

/** When a server last made progress on a request, as far as the answer is read. */
final class SendProgress {

    private long lastProgressNanos;
    private long lastEventNanos;
    private boolean readingPaused;

    /** Records that the request is about to be sent, or is written. */
    void onSend(long nowNanos) {
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
        lastEventNanos = nowNanos;
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

    /** Returns the time since the last progress; 0 while the answer is not read. */
    long silenceMs(long nowNanos) {
        return readingPaused ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - lastProgressNanos);
    }
}
