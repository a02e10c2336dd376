package io.pollenpath.coordination.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tells whether a service works again after a crash. A crash may take other servers of its service
 * with it for a while; a trial in that time teaches nothing.
 */
public final class ServiceRecoveries {

    /** The time after which a trial may run though nothing was answered, in milliseconds. */
    static final long MAX_WAIT_MS = 5_000;

    private final Map<String, Long> answeredSentNanos = new HashMap<>();

    /**
     * Records that a server of a service is at work on an answer.
     *
     * @param service the service, not null
     * @param sentNanos the time at which the request was sent to the server, in nanoseconds; what
     *     was sent before a crash may be answered after it though nothing works any more
     */
    public void onAnswer(String service, long sentNanos) {
        answeredSentNanos.merge(service, sentNanos, CrashHistory::later);
    }

    /**
     * Returns whether a service has answered a request that was sent after its latest crash.
     *
     * @param service the service, not null
     * @param latestCrashNanos the time of its latest crash, in nanoseconds; empty if there was none
     * @param nowNanos the current time, in nanoseconds
     * @return true also if there was no crash, or if it is a while ago
     */
    public boolean hasRecovered(String service, Optional<Long> latestCrashNanos, long nowNanos) {
        if (latestCrashNanos.isEmpty()
                || nowNanos - latestCrashNanos.get() > TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS)) {
            return true;
        }
        Long sent = answeredSentNanos.get(service);
        return sent != null && sent - latestCrashNanos.get() > 0;
    }
}
