package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

/**
 * Chooses the requests that are taken for trials of blocked suspects that many requests share.
 *
 * <p>A trial tells little of a suspect if the request holds something else that was on crashed
 * servers: if the server crashes, that may be the cause. So a request is no trial of a suspect
 * while requests come that hold the suspect with less evidence against what else they hold.
 */
final class TrialCandidates {

    /** How long a trial waits for a better request after one was seen, in milliseconds. */
    static final long MAX_WAIT_MS = 5_000;

    /** How long a caller is told to wait while another request is the better trial. */
    static final long RETRY_AFTER_MS = 1_000;

    private static final int MAX_SUSPECTS = 256;

    /** How many numbers an entry tells of one request. */
    private static final int MAX_EVIDENCE = 32;

    private final ToIntFunction<CrashSuspect> crashesOf;
    private final Map<CrashSuspect, Candidate> best = newBoundedMap();

    private record Candidate(List<CrashSuspect> suspects, long seenNanos) {

        boolean isExpired(long nowNanos) {
            return nowNanos - seenNanos >= TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS);
        }
    }

    /**
     * Creates a choice that has seen no request.
     *
     * @param crashesOf returns the number of servers that crashed while a suspect was in flight on
     *     them, not null
     */
    TrialCandidates(ToIntFunction<CrashSuspect> crashesOf) {
        this.crashesOf = crashesOf;
    }

    /**
     * Notes a request that may soon be a trial, and returns whether it may be one now.
     *
     * @param blocked the blocked suspects that the request shares with others, not null
     * @param all all its suspects, not null
     * @param nowNanos the current time, in nanoseconds
     * @return false if a better request for a trial of one of the blocked suspects came lately
     */
    boolean isBest(Collection<CrashSuspect> blocked, List<CrashSuspect> all, long nowNanos) {
        List<Integer> evidence = evidence(all);
        Candidate candidate = new Candidate(List.copyOf(all), nowNanos);
        boolean isBest = true;
        for (CrashSuspect suspect : blocked) {
            if (isBest(suspect, evidence, nowNanos)) {
                best.put(suspect, candidate);
            } else {
                isBest = false;
            }
        }
        return isBest;
    }

    /**
     * Returns whether no better request for a trial came lately.
     *
     * @param suspect the suspect on trial, not null
     * @param evidence the evidence against the request, not null
     * @param nowNanos the current time, in nanoseconds
     * @return false if one with less evidence came
     */
    boolean isBest(CrashSuspect suspect, List<Integer> evidence, long nowNanos) {
        Candidate known = best.get(suspect);
        return known == null
                || known.isExpired(nowNanos)
                || compare(evidence, evidence(known.suspects())) <= 0;
    }

    /** Returns the numbers of crashes of the suspects that have any, the largest first. */
    List<Integer> evidence(List<CrashSuspect> suspects) {
        return suspects.stream()
                .map(crashesOf::applyAsInt)
                .filter(count -> count > 0)
                .sorted(Comparator.reverseOrder())
                .limit(MAX_EVIDENCE)
                .toList();
    }

    /** Compares evidence by its largest numbers first. */
    private static int compare(List<Integer> one, List<Integer> other) {
        int common = Math.min(one.size(), other.size());
        for (int i = 0; i < common; i++) {
            if (!one.get(i).equals(other.get(i))) {
                return Integer.compare(one.get(i), other.get(i));
            }
        }
        return Integer.compare(one.size(), other.size());
    }

    private static Map<CrashSuspect, Candidate> newBoundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<CrashSuspect, Candidate> eldest) {
                return size() > MAX_SUSPECTS;
            }
        };
    }
}
