package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.ArrayList;
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

/**
 * The recent crashes of backend servers and what is suspected to have caused them.
 *
 * <p>Every request in flight on a server when it crashes is a suspect, and so is what it shares
 * with others. An answer clears a suspect of all earlier crashes. Histories merge by union, so
 * entries may exchange them in any order and more than once.
 */
public final class CrashHistory {

    /** How long a crash is remembered, in milliseconds. */
    static final long RETENTION_MS = 600_000;

    /** The largest number of crashes that are remembered. */
    static final int MAX_CRASHES = 128;

    /** The largest number of suspects of one crash that one entry reports. */
    static final int MAX_SUSPECTS = 256;

    /** The largest number of suspects of one crash from all entries together. */
    static final int MAX_SUSPECTS_OF_ALL = 512;

    /** The number of crashes from which other entries are told at once of a shared suspect. */
    private static final int SHARED_CRASHES_TO_TELL = 2;

    /** How much younger a report may make an event than it is: the time that the report travels. */
    private static final long AGE_ERROR_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final Suspicion NONE =
            new Suspicion(0, 0, 0, false, 0, 0, 0, CrashAnalysis.BLOCKING_CRASHES);

    private static final Comparator<CrashSuspect> BY_DIGEST =
            Comparator.comparingLong(CrashSuspect::high).thenComparingLong(CrashSuspect::low);

    private final Map<String, CrashRecord> crashes = new LinkedHashMap<>();
    private final Map<CrashSuspect, Long> clearedNanos = new HashMap<>();
    private final Map<CrashSuspect, Map<Long, Long>> trialNanos = new HashMap<>();
    private final RecentAnswers answers = new RecentAnswers();
    private Map<CrashSuspect, Suspicion> suspicions = Map.of();

    /**
     * The suspicion against one request, or against what several requests share.
     *
     * @param crashes the number of servers that the suspect is held to have crashed
     * @param inFlightCrashes the number of servers that crashed while the suspect was in flight on
     *     them, whatever explains these crashes
     * @param loneCrashes the number of these servers on which no other suspect of its kind was that
     *     was on several crashed servers; 0 for a shared suspect
     * @param contested whether there may be another cause of several crashes: servers of the same
     *     service have crashed in the same time without the suspect, or another one of its kind was
     *     on all of them
     * @param trials the number of its test runs
     * @param serviceTrials the number of test runs of all requests to the service that have not
     *     been answered
     * @param lastEventNanos the time of the latest of these crashes and trials, in nanoseconds; 0
     *     if there is none
     * @param blockingCrashes the number of crashes that block the suspect
     */
    public record Suspicion(
            int crashes,
            int inFlightCrashes,
            int loneCrashes,
            boolean contested,
            int trials,
            int serviceTrials,
            long lastEventNanos,
            int blockingCrashes) {

        /**
         * Returns whether the suspect is the likely cause of crashes, because it was on several
         * crashed servers on which nothing else was that was on several.
         *
         * @return true if it needs no further crash to be blocked
         */
        public boolean isLikelyCause() {
            return loneCrashes >= CrashAnalysis.BLOCKING_LONE_CRASHES;
        }

        /**
         * Returns whether the suspect is blocked.
         *
         * @param unconfirmedCrashes the number of further servers that may have crashed
         * @return true if requests with it must not be sent as usual
         */
        public boolean isBlocked(int unconfirmedCrashes) {
            return isLikelyCause() || inFlightCrashes + unconfirmedCrashes >= blockingCrashes;
        }
    }

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
     * Returns the time of the latest crash of a service.
     *
     * @param service the service, not null
     * @return the time, in nanoseconds; empty if no crash is remembered
     */
    public Optional<Long> latestCrashNanos(String service) {
        return crashes.values().stream()
                .filter(crash -> crash.service().equals(service))
                .map(CrashRecord::nanos)
                .reduce(CrashHistory::later);
    }

    /**
     * Records a crash.
     *
     * @param server the incarnation of the server, not null
     * @param service the service that the server belonged to, not null
     * @param suspects what was in flight on it, not null
     * @param nowNanos the time of the crash, in nanoseconds
     * @return whether this changed the history
     */
    public boolean recordCrash(
            String server, String service, Set<CrashSuspect> suspects, long nowNanos) {
        boolean changed = addCrash(server, service, mostSuspicious(suspects), nowNanos);
        if (changed) {
            update();
        }
        return changed;
    }

    /** Returns the suspects that are worth remembering if there are too many. */
    private Set<CrashSuspect> mostSuspicious(Set<CrashSuspect> suspects) {
        Comparator<CrashSuspect> byCrashes =
                Comparator.comparing(suspect -> -suspicion(suspect).inFlightCrashes());
        Comparator<CrashSuspect> byAnswers =
                Comparator.comparing(suspect -> answers.latest(suspect).isPresent());
        return suspects.stream()
                .sorted(byCrashes.thenComparing(byAnswers))
                .limit(MAX_SUSPECTS)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Records an answer, which clears a suspect of earlier crashes. What several requests share is
     * remembered also if it is no suspect, since an answer before a crash speaks for it too.
     *
     * @param suspect the suspect, not null
     * @param nowNanos the time of the answer, in nanoseconds
     * @return whether other entries should know now: it was a suspect, or close to being blocked if
     *     several requests share it
     */
    public boolean recordAnswer(CrashSuspect suspect, long nowNanos) {
        if (suspect.isShared()) {
            answers.add(suspect, nowNanos);
        }
        int suspected = suspicion(suspect).inFlightCrashes();
        boolean cleared = suspected >= (suspect.isShared() ? SHARED_CRASHES_TO_TELL : 1);
        if (cleared) {
            clearedNanos.merge(suspect, nowNanos, CrashHistory::later);
            update();
        }
        return cleared;
    }

    /**
     * Records the start of a test run of a blocked suspect.
     *
     * @param suspect the suspect, not null
     * @param id distinguishes the trials of one suspect
     * @param nowNanos the time of the start, in nanoseconds
     */
    public void recordTrial(CrashSuspect suspect, long id, long nowNanos) {
        addTrial(suspect, id, nowNanos);
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
            changed |= addClearance(clearance.suspect(), nanos);
        }
        for (CrashReport.Trial trial : report.trials()) {
            long nanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(trial.ageMs());
            changed |= addTrial(trial.suspect(), trial.id(), nanos);
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
     * Returns the suspicion against a suspect.
     *
     * @param suspect the suspect, not null
     * @return the suspicion, with no crashes if nothing is held against it
     */
    public Suspicion suspicion(CrashSuspect suspect) {
        return suspicions.getOrDefault(suspect, NONE);
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
            String server, String service, Set<CrashSuspect> suspects, long nanos) {
        CrashRecord known = crashes.get(server);
        if (known == null) {
            crashes.put(server, new CrashRecord(nanos, service, bounded(suspects)));
            if (crashes.size() > MAX_CRASHES) {
                crashes.remove(leastImportant());
            }
            return crashes.containsKey(server);
        }
        Set<CrashSuspect> merged = new HashSet<>(known.suspects());
        merged.addAll(suspects);
        Set<CrashSuspect> kept = bounded(merged);
        if (kept.equals(known.suspects())) {
            return false;
        }
        long earliest = nanos - known.nanos() < 0 ? nanos : known.nanos();
        crashes.put(server, new CrashRecord(earliest, service, kept));
        return true;
    }

    /**
     * Returns the server of the oldest crash, except those that block a suspect if there are
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
                .filter(suspect -> CrashAnalysis.isSuspect(suspect, crash, clearedNanos))
                .anyMatch(suspect -> suspicion(suspect).isBlocked(0));
    }

    /** Keeps the same suspects of a set that is too large, whatever the order of merges is. */
    private static Set<CrashSuspect> bounded(Set<CrashSuspect> suspects) {
        if (suspects.size() <= MAX_SUSPECTS_OF_ALL) {
            return suspects;
        }
        return suspects.stream()
                .sorted(BY_DIGEST)
                .limit(MAX_SUSPECTS_OF_ALL)
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean addClearance(CrashSuspect suspect, long nanos) {
        Long known = clearedNanos.get(suspect);
        boolean newer = known == null || nanos - known > AGE_ERROR_NANOS;
        if (newer) {
            clearedNanos.put(suspect, nanos);
        }
        return newer;
    }

    private boolean addTrial(CrashSuspect suspect, long id, long nanos) {
        return trialNanos.computeIfAbsent(suspect, key -> new HashMap<>()).putIfAbsent(id, nanos)
                == null;
    }

    /** Recomputes the suspicions, and drops what concerns no remembered crash. */
    private void update() {
        Set<CrashSuspect> mentioned = new HashSet<>();
        crashes.values().forEach(crash -> mentioned.addAll(crash.suspects()));
        clearedNanos.keySet().retainAll(mentioned);
        trialNanos.keySet().retainAll(mentioned);
        crashes.values().forEach(this::clearByAnswers);
        suspicions = new CrashAnalysis(crashes.values(), clearedNanos, trialNanos).suspicions();
    }

    /** Clears shared suspects that were in answers that this entry knows of. */
    private void clearByAnswers(CrashRecord crash) {
        for (CrashSuspect suspect : crash.suspects()) {
            Optional<Long> answered = answers.latest(suspect);
            if (answered.isEmpty()) {
                continue;
            }
            boolean unknown = !clearedNanos.containsKey(suspect);
            boolean clears =
                    CrashAnalysis.isSuspect(suspect, crash, clearedNanos)
                            && answered.get() - crash.nanos() > 0;
            if (unknown || clears) {
                clearedNanos.put(suspect, answered.get());
            }
        }
    }

    static long later(long a, long b) {
        return a - b > 0 ? a : b;
    }
}
