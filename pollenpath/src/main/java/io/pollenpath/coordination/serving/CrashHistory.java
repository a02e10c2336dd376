package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.RequestFingerprint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * The recent crashes of backend servers and the requests that are suspected to have caused them.
 *
 * <p>Every request in flight on a server when it crashes is a suspect. A complete answer to a
 * suspect clears it of all earlier crashes. Histories merge by union, so entries may exchange them
 * in any order and more than once.
 */
public final class CrashHistory {

    /** The number of servers that a request may crash before it is blocked. */
    static final int BLOCKING_CRASHES = 3;

    /** How long a crash is remembered, in milliseconds. */
    static final long RETENTION_MS = 600_000;

    /** The largest number of crashes that are remembered. */
    static final int MAX_CRASHES = 128;

    /** The largest number of suspects of one crash. */
    static final int MAX_SUSPECTS = 256;

    /** How much younger a report may make an event than it is: the time that the report travels. */
    private static final long AGE_ERROR_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final Suspicion NONE = new Suspicion(0, 0, false, 0, 0);

    private final Map<String, CrashRecord> crashes = new LinkedHashMap<>();
    private final Map<RequestFingerprint, Long> clearedNanos = new HashMap<>();
    private final Map<RequestFingerprint, Map<Long, Long>> trialNanos = new HashMap<>();
    private Map<RequestFingerprint, Suspicion> suspicions = Map.of();

    /**
     * The suspicion against one request.
     *
     * @param crashes the number of servers that the request is held to have crashed
     * @param inFlightCrashes the number of servers that crashed while the request was in flight on
     *     them, whatever explains these crashes
     * @param contested whether there may be another cause: servers of the same service have crashed
     *     in the same time without the request, or another request was on all the same servers
     * @param trials the number of its test runs
     * @param lastEventNanos the time of the latest of these crashes and trials, in nanoseconds; 0
     *     if there is none
     */
    public record Suspicion(
            int crashes, int inFlightCrashes, boolean contested, int trials, long lastEventNanos) {}

    private record CrashRecord(long nanos, String service, Set<RequestFingerprint> suspects) {}

    /**
     * Returns whether no crash is remembered.
     *
     * @return true if no request is suspected
     */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Returns whether the crash of a server is remembered.
     *
     * @param server the incarnation of the server, not null
     * @return true if it has crashed
     */
    public boolean hasCrashed(String server) {
        return crashes.containsKey(server);
    }

    /**
     * Records a crash.
     *
     * @param server the incarnation of the server, not null
     * @param service the service that the server belonged to, not null
     * @param suspects the requests that were in flight on it, not null
     * @param nowNanos the time of the crash, in nanoseconds
     * @return whether this changed the history
     */
    public boolean recordCrash(
            String server, String service, Set<RequestFingerprint> suspects, long nowNanos) {
        boolean changed = addCrash(server, service, suspects, nowNanos);
        if (changed) {
            update();
        }
        return changed;
    }

    /**
     * Records a complete answer, which clears a suspect.
     *
     * @param request the request, not null
     * @param nowNanos the time of the answer, in nanoseconds
     * @return whether the request was a suspect
     */
    public boolean recordAnswer(RequestFingerprint request, long nowNanos) {
        boolean suspected = crashes.values().stream().anyMatch(crash -> isSuspect(request, crash));
        if (suspected) {
            clearedNanos.merge(request, nowNanos, CrashHistory::later);
            update();
        }
        return suspected;
    }

    /**
     * Records the start of a test run of a blocked request.
     *
     * @param request the request, not null
     * @param id distinguishes the trials of one request
     * @param nowNanos the time of the start, in nanoseconds
     */
    public void recordTrial(RequestFingerprint request, long id, long nowNanos) {
        addTrial(request, id, nowNanos);
        update();
    }

    /**
     * Merges what another entry knows.
     *
     * @param report the report of the other entry, not null
     * @param nowNanos the current time, in nanoseconds
     * @return whether this changed the history
     */
    public boolean merge(CrashReport report, long nowNanos) {
        boolean changed = false;
        for (CrashReport.Crash crash : report.crashes()) {
            long nanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(crash.ageMs());
            changed |= addCrash(crash.server(), crash.service(), crash.suspects(), nanos);
        }
        for (CrashReport.Clearance clearance : report.clearances()) {
            long nanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(clearance.ageMs());
            changed |= addClearance(clearance.request(), nanos);
        }
        for (CrashReport.Trial trial : report.trials()) {
            long nanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(trial.ageMs());
            changed |= addTrial(trial.request(), trial.id(), nanos);
        }
        expire(nowNanos);
        if (changed) {
            update();
        }
        return changed;
    }

    /**
     * Returns all that this history knows.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the report for other entries
     */
    public CrashReport report(long nowNanos) {
        expire(nowNanos);
        List<CrashReport.Crash> crashReports = new ArrayList<>();
        crashes.forEach(
                (server, crash) ->
                        crashReports.add(
                                new CrashReport.Crash(
                                        server,
                                        crash.service(),
                                        crash.suspects(),
                                        ageMs(crash.nanos(), nowNanos))));
        List<CrashReport.Clearance> clearances = new ArrayList<>();
        clearedNanos.forEach(
                (request, nanos) ->
                        clearances.add(new CrashReport.Clearance(request, ageMs(nanos, nowNanos))));
        List<CrashReport.Trial> trials = new ArrayList<>();
        trialNanos.forEach(
                (request, starts) ->
                        starts.forEach(
                                (id, nanos) ->
                                        trials.add(
                                                new CrashReport.Trial(
                                                        request, id, ageMs(nanos, nowNanos)))));
        return new CrashReport(crashReports, clearances, trials);
    }

    private static long ageMs(long nanos, long nowNanos) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos));
    }

    /**
     * Returns the suspicion against a request.
     *
     * @param request the request, not null
     * @return the suspicion, with no crashes if the request is not a suspect
     */
    public Suspicion suspicion(RequestFingerprint request) {
        return suspicions.getOrDefault(request, NONE);
    }

    /**
     * Forgets crashes that are too old.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void expire(long nowNanos) {
        boolean changed =
                crashes.values().removeIf(crash -> ageMs(crash.nanos(), nowNanos) > RETENTION_MS);
        if (changed) {
            update();
        }
    }

    private boolean addCrash(
            String server, String service, Set<RequestFingerprint> suspects, long nanos) {
        CrashRecord known = crashes.get(server);
        if (known == null) {
            crashes.put(server, new CrashRecord(nanos, service, bounded(suspects)));
            if (crashes.size() > MAX_CRASHES) {
                crashes.remove(leastImportant());
            }
            return crashes.containsKey(server);
        }
        boolean full = known.suspects().size() >= MAX_SUSPECTS;
        if (full || known.suspects().containsAll(suspects)) {
            return false;
        }
        Set<RequestFingerprint> merged = new HashSet<>(known.suspects());
        merged.addAll(suspects);
        long earliest = nanos - known.nanos() < 0 ? nanos : known.nanos();
        crashes.put(server, new CrashRecord(earliest, service, bounded(merged)));
        return true;
    }

    /**
     * Returns the server of the oldest crash, except those that block a request if there are
     * others.
     */
    private String leastImportant() {
        Comparator<Map.Entry<String, CrashRecord>> byImportance =
                Comparator.comparing(
                        (Map.Entry<String, CrashRecord> entry) -> blocks(entry.getValue()));
        return crashes.entrySet().stream()
                .min(byImportance.thenComparing(CrashHistory::byTime))
                .orElseThrow()
                .getKey();
    }

    private static int byTime(
            Map.Entry<String, CrashRecord> one, Map.Entry<String, CrashRecord> other) {
        return Long.signum(one.getValue().nanos() - other.getValue().nanos());
    }

    private boolean blocks(CrashRecord crash) {
        return crash.suspects().stream()
                .filter(request -> isSuspect(request, crash))
                .anyMatch(request -> suspicion(request).inFlightCrashes() >= BLOCKING_CRASHES);
    }

    private static Set<RequestFingerprint> bounded(Set<RequestFingerprint> suspects) {
        return suspects.stream().limit(MAX_SUSPECTS).collect(Collectors.toUnmodifiableSet());
    }

    private boolean addClearance(RequestFingerprint request, long nanos) {
        Long known = clearedNanos.get(request);
        boolean newer = known == null || nanos - known > AGE_ERROR_NANOS;
        if (newer) {
            clearedNanos.put(request, nanos);
        }
        return newer;
    }

    private boolean addTrial(RequestFingerprint request, long id, long nanos) {
        return trialNanos.computeIfAbsent(request, key -> new HashMap<>()).putIfAbsent(id, nanos)
                == null;
    }

    private boolean isSuspect(RequestFingerprint request, CrashRecord crash) {
        Long cleared = clearedNanos.get(request);
        return crash.suspects().contains(request)
                && (cleared == null || crash.nanos() - cleared > 0);
    }

    /** Recomputes the suspicions, and drops what concerns no remembered crash. */
    private void update() {
        Set<RequestFingerprint> mentioned = new HashSet<>();
        crashes.values().forEach(crash -> mentioned.addAll(crash.suspects()));
        clearedNanos.keySet().retainAll(mentioned);
        trialNanos.keySet().retainAll(mentioned);
        List<Set<RequestFingerprint>> unexplained = new ArrayList<>();
        for (CrashRecord crash : crashes.values()) {
            unexplained.add(
                    crash.suspects().stream()
                            .filter(request -> isSuspect(request, crash))
                            .collect(Collectors.toSet()));
        }
        Map<RequestFingerprint, Integer> counts = CrashBlame.assign(unexplained, BLOCKING_CRASHES);
        Map<RequestFingerprint, Suspicion> updated = new HashMap<>();
        for (RequestFingerprint request : mentioned) {
            suspicionOf(request, counts.getOrDefault(request, 0))
                    .ifPresent(suspicion -> updated.put(request, suspicion));
        }
        suspicions = updated;
    }

    private Optional<Suspicion> suspicionOf(RequestFingerprint request, int count) {
        List<CrashRecord> own =
                crashes.values().stream().filter(crash -> isSuspect(request, crash)).toList();
        if (own.isEmpty()) {
            return Optional.empty();
        }
        Collection<Long> starts = trialNanos.getOrDefault(request, Map.of()).values();
        long last =
                LongStream.concat(
                                own.stream().mapToLong(CrashRecord::nanos),
                                starts.stream().mapToLong(Long::longValue))
                        .reduce(CrashHistory::later)
                        .orElse(0);
        return Optional.of(
                new Suspicion(count, own.size(), isContested(request, own), starts.size(), last));
    }

    private boolean isContested(RequestFingerprint request, List<CrashRecord> own) {
        return hasCrashWithout(request, own) || hasRival(request, own);
    }

    private boolean hasCrashWithout(RequestFingerprint request, List<CrashRecord> own) {
        long first =
                own.stream()
                        .mapToLong(CrashRecord::nanos)
                        .reduce((a, b) -> a - b < 0 ? a : b)
                        .orElse(0);
        return crashes.values().stream()
                .filter(crash -> crash.nanos() - first > 0 && !isSuspect(request, crash))
                .anyMatch(crash -> crash.service().equals(own.get(0).service()));
    }

    /** Returns whether another request was in flight on all servers that crashed under this one. */
    private boolean hasRival(RequestFingerprint request, List<CrashRecord> own) {
        return own.get(0).suspects().stream()
                .filter(other -> !other.equals(request))
                .anyMatch(other -> own.stream().allMatch(crash -> isSuspect(other, crash)));
    }

    private static long later(long a, long b) {
        return a - b > 0 ? a : b;
    }
}
