package io.pollenpath.coordination;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;

/**
 * Records the requests that a side process has received, so that a duplicate message never starts a
 * second run.
 *
 * <p>A refused request leaves a tombstone: the sender was told that the attempt has not run, so a
 * late duplicate of that or an earlier attempt must be refused too. A later attempt may be
 * admitted.
 */
public final class RunLedger {

    /** The decision on a received attempt. */
    public enum Decision {
        /** The attempt is new: admit it. */
        ADMIT,
        /** The request is already queued, running or finished: attach the sender to that run. */
        ATTACH,
        /** This or a later attempt was refused before: refuse it again. */
        REFUSE
    }

    private enum Phase {
        QUEUED,
        STARTED,
        FINISHED,
        REFUSED
    }

    private record Entry(Phase phase, int attempt, long expiresAtNanos) {}

    private final long retentionNanos;
    private final Map<String, Entry> entries = new HashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param retentionNanos the time for which ended requests are retained, in nanoseconds
     */
    public RunLedger(long retentionNanos) {
        this.retentionNanos = retentionNanos;
    }

    /**
     * Decides on a received attempt and, if it is admitted, records it as queued.
     *
     * @param requestId the id of the request, not null
     * @param attempt the number of the attempt, increasing from 1
     * @param nowNanos the current time, in nanoseconds
     * @return the decision
     */
    public Decision submit(String requestId, int attempt, long nowNanos) {
        Objects.requireNonNull(requestId, "requestId");
        if (wouldAdmit(requestId, attempt)) {
            put(requestId, Phase.QUEUED, attempt, nowNanos);
            return Decision.ADMIT;
        }
        boolean tombstone = entries.get(requestId).phase() == Phase.REFUSED;
        return tombstone ? Decision.REFUSE : Decision.ATTACH;
    }

    /**
     * Returns whether an attempt would be admitted, without recording it.
     *
     * @param requestId the id of the request, not null
     * @param attempt the number of the attempt
     * @return true if the request is not in the ledger, or if only earlier attempts of it were
     *     refused
     */
    public boolean wouldAdmit(String requestId, int attempt) {
        Entry entry = entries.get(requestId);
        return entry == null || (entry.phase() == Phase.REFUSED && attempt > entry.attempt());
    }

    /**
     * Marks a queued request as started.
     *
     * @param requestId the id of the request, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if the request was queued; false if it must not start
     */
    public boolean start(String requestId, long nowNanos) {
        Entry entry = entries.get(requestId);
        if (entry == null || entry.phase() != Phase.QUEUED) {
            return false;
        }
        put(requestId, Phase.STARTED, entry.attempt(), nowNanos);
        return true;
    }

    /**
     * Replaces a started request, which the backend server certainly never received, by a
     * tombstone.
     *
     * @param requestId the id of the request, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void abandonStart(String requestId, long nowNanos) {
        Entry entry = entries.get(requestId);
        if (entry != null && entry.phase() == Phase.STARTED) {
            put(requestId, Phase.REFUSED, entry.attempt(), nowNanos);
        }
    }

    /**
     * Marks a started request as finished.
     *
     * @param requestId the id of the request, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void finish(String requestId, long nowNanos) {
        Entry entry = entries.get(requestId);
        if (entry != null && entry.phase() == Phase.STARTED) {
            put(requestId, Phase.FINISHED, entry.attempt(), nowNanos);
        }
    }

    /**
     * Refuses an attempt and leaves a tombstone, unless the request has started.
     *
     * @param requestId the id of the request, not null
     * @param attempt the number of the attempt
     * @param nowNanos the current time, in nanoseconds
     * @return true if the attempt has not run and never will; false if the request has started
     */
    public boolean refuse(String requestId, int attempt, long nowNanos) {
        Entry entry = entries.get(requestId);
        if (entry != null && (entry.phase() == Phase.STARTED || entry.phase() == Phase.FINISHED)) {
            return false;
        }
        int highestAttempt = entry == null ? attempt : Math.max(attempt, entry.attempt());
        put(requestId, Phase.REFUSED, highestAttempt, nowNanos);
        return true;
    }

    /**
     * Removes ended requests whose retention time is over.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void expire(long nowNanos) {
        for (Iterator<Entry> iterator = entries.values().iterator(); iterator.hasNext(); ) {
            Entry entry = iterator.next();
            boolean ended = entry.phase() == Phase.FINISHED || entry.phase() == Phase.REFUSED;
            if (ended && entry.expiresAtNanos() - nowNanos <= 0) {
                iterator.remove();
            }
        }
    }

    /**
     * Returns the number of recorded requests.
     *
     * @return the number of requests
     */
    public int size() {
        return entries.size();
    }

    private void put(String requestId, Phase phase, int attempt, long nowNanos) {
        entries.put(requestId, new Entry(phase, attempt, nowNanos + retentionNanos));
    }
}
