package io.pollenpath.coordination.serving;

import io.pollenpath.coordination.serving.CrashHistory.Suspicion;
import io.pollenpath.state.serving.CrashSuspect;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Draws conclusions from crashes: which suspects are blocked.
 *
 * <p>One request, or its content whoever sends it, is blocked by the crashes that it was in flight
 * on, whatever else explains them, and sooner if nothing else explains two of them. What different
 * requests share is blocked if it was never in an answer before those crashes. If it was, a path is
 * never blocked. The rest takes one crash more, and crashes that a blocked suspect explains do not
 * count: it is more often on crashed servers by chance, and holding it back costs many good
 * requests.
 */
final class CrashAnalysis {

    /** The number of crashes that block a suspect. */
    static final int BLOCKING_CRASHES = 3;

    /** The number of crashes that block a request if nothing else was on several of the servers. */
    static final int BLOCKING_LONE_CRASHES = 2;

    /** The number of crashes that block a shared suspect that was in answers before. */
    static final int BLOCKING_CRASHES_IF_PROVEN = 4;

    /** How many crashes of one episode count against a shared suspect that was in answers. */
    private static final int MAX_OF_EPISODE_IF_PROVEN = 2;

    private static final Set<CrashSuspect.Kind> PROMPT_KINDS =
            EnumSet.of(CrashSuspect.Kind.ANY_PROMPT, CrashSuspect.Kind.PROMPT_PART);

    private final Collection<CrashRecord> crashes;
    private final Map<CrashSuspect, Long> clearedNanos;
    private final Map<CrashSuspect, Map<Long, Long>> trialNanos;
    private final Map<CrashSuspect, List<CrashRecord>> crashesOf = new HashMap<>();
    private final Set<CrashRecord> explained = Collections.newSetFromMap(new IdentityHashMap<>());
    private final CrashEpisodes episodes;
    private final Map<String, Set<Long>> openTrials = new HashMap<>();

    CrashAnalysis(
            Collection<CrashRecord> crashes,
            Map<CrashSuspect, Long> clearedNanos,
            Map<CrashSuspect, Map<Long, Long>> trialNanos) {
        this.crashes = crashes;
        this.clearedNanos = clearedNanos;
        this.trialNanos = trialNanos;
        episodes = new CrashEpisodes(crashes);
        for (CrashRecord crash : crashes) {
            for (CrashSuspect suspect : crash.suspects()) {
                if (isSuspect(suspect, crash)) {
                    crashesOf.computeIfAbsent(suspect, key -> new ArrayList<>()).add(crash);
                }
            }
        }
        crashesOf.forEach(this::collectOpenTrials);
    }

    private void collectOpenTrials(CrashSuspect suspect, List<CrashRecord> own) {
        if (suspect.isShared()) {
            return;
        }
        Set<Long> open = openTrials.computeIfAbsent(own.get(0).service(), key -> new HashSet<>());
        trialNanos
                .getOrDefault(suspect, Map.of())
                .forEach(
                        (id, nanos) -> {
                            if (!isClearedSince(suspect, nanos)) {
                                open.add(id);
                            }
                        });
    }

    private boolean isClearedSince(CrashSuspect suspect, long nanos) {
        Long cleared = clearedNanos.get(suspect);
        return cleared != null && cleared - nanos > 0;
    }

    private boolean isSuspect(CrashSuspect suspect, CrashRecord crash) {
        return isSuspect(suspect, crash, clearedNanos);
    }

    /** Returns whether a suspect was on a crashed server and was not cleared since. */
    static boolean isSuspect(
            CrashSuspect suspect, CrashRecord crash, Map<CrashSuspect, Long> clearedNanos) {
        Long cleared = clearedNanos.get(suspect);
        return crash.suspects().contains(suspect)
                && (cleared == null || crash.nanos() - cleared > 0);
    }

    private static boolean isPath(CrashSuspect suspect) {
        return suspect.kind() == CrashSuspect.Kind.PATH;
    }

    private boolean isProven(CrashSuspect suspect) {
        return clearedNanos.containsKey(suspect);
    }

    /** Returns the suspicions against all suspects of at least one crash. */
    Map<CrashSuspect, Suspicion> suspicions() {
        Map<CrashSuspect, Suspicion> suspicions = new HashMap<>();
        explainBySharedSuspects(suspicions);
        Map<CrashSuspect, Integer> blame = blameOfRequests();
        crashesOf.forEach(
                (suspect, own) -> {
                    if (!suspect.isShared()) {
                        suspicions.put(
                                suspect, ofRequest(suspect, own, blame.getOrDefault(suspect, 0)));
                    }
                });
        explainByRequests(suspicions);
        crashesOf.forEach(
                (suspect, own) -> {
                    if (suspect.isShared() && isProven(suspect) && !isPath(suspect)) {
                        suspicions.put(suspect, ofProven(suspect, own));
                    }
                });
        return suspicions;
    }

    private void explainBySharedSuspects(Map<CrashSuspect, Suspicion> suspicions) {
        Map<CrashSuspect, Integer> counts = new HashMap<>();
        crashesOf.forEach(
                (suspect, own) -> {
                    if (suspect.isShared() && !isProven(suspect)) {
                        counts.put(suspect, episodes.count(own, Integer.MAX_VALUE));
                    }
                });
        counts.forEach(
                (suspect, count) -> {
                    if (count >= BLOCKING_CRASHES) {
                        explained.addAll(crashesOf.get(suspect));
                    }
                });
        counts.forEach((suspect, count) -> suspicions.put(suspect, ofUnproven(suspect, count)));
    }

    private Map<CrashSuspect, Integer> blameOfRequests() {
        List<Set<CrashSuspect>> unexplained = new ArrayList<>();
        for (CrashRecord crash : crashes) {
            if (!explained.contains(crash)) {
                unexplained.add(requestsOn(crash));
            }
        }
        return CrashBlame.assign(unexplained, BLOCKING_CRASHES);
    }

    private Set<CrashSuspect> requestsOn(CrashRecord crash) {
        return crash.suspects().stream()
                .filter(suspect -> !suspect.isShared() && isSuspect(suspect, crash))
                .collect(Collectors.toSet());
    }

    private void explainByRequests(Map<CrashSuspect, Suspicion> suspicions) {
        suspicions.forEach(
                (suspect, suspicion) -> {
                    if (!suspect.isShared() && suspicion.crashes() >= BLOCKING_CRASHES) {
                        explained.addAll(crashesOf.get(suspect));
                    }
                });
    }

    private Suspicion ofRequest(CrashSuspect suspect, List<CrashRecord> own, int blame) {
        boolean contested =
                isRepeated(own) && (hasCrashWithout(suspect, own) || hasRival(suspect, own));
        return suspicion(suspect, own, blame, own.size(), loneCrashes(suspect, own), contested);
    }

    private Suspicion ofUnproven(CrashSuspect suspect, int count) {
        List<CrashRecord> own = crashesOf.get(suspect);
        boolean contested =
                isRepeated(own)
                        && (hasUnexplainedCrashWithout(suspect, own) || hasRival(suspect, own));
        return suspicion(suspect, own, count, count, 0, contested);
    }

    private Suspicion ofProven(CrashSuspect suspect, List<CrashRecord> own) {
        List<CrashRecord> unexplained =
                own.stream().filter(crash -> !explained.contains(crash)).toList();
        int count = episodes.count(unexplained, MAX_OF_EPISODE_IF_PROVEN);
        return suspicion(suspect, own, count, count, 0, true);
    }

    private Suspicion suspicion(
            CrashSuspect suspect,
            List<CrashRecord> own,
            int count,
            int inFlight,
            int lone,
            boolean contested) {
        Collection<Long> starts = trialNanos.getOrDefault(suspect, Map.of()).values();
        Set<Long> times = new HashSet<>(starts);
        own.forEach(crash -> times.add(crash.nanos()));
        long last = times.stream().reduce(CrashHistory::later).orElse(0L);
        boolean provenShared = suspect.isShared() && isProven(suspect);
        return new Suspicion(
                count,
                inFlight,
                lone,
                contested,
                starts.size(),
                openTrials.getOrDefault(own.get(0).service(), Set.of()).size(),
                last,
                provenShared ? BLOCKING_CRASHES_IF_PROVEN : BLOCKING_CRASHES);
    }

    /** Counts the crashes without another suspect of the kind that was on several servers. */
    private int loneCrashes(CrashSuspect suspect, List<CrashRecord> own) {
        return isRepeated(own)
                ? (int) own.stream().filter(crash -> !hasOtherRepeated(suspect, crash)).count()
                : 0;
    }

    /** Returns false for the many suspects of one crash, which nothing is asked about. */
    private static boolean isRepeated(List<CrashRecord> own) {
        return own.size() > 1;
    }

    private boolean hasOtherRepeated(CrashSuspect suspect, CrashRecord crash) {
        return crash.suspects().stream()
                .filter(other -> other.kind() == suspect.kind() && !other.equals(suspect))
                .anyMatch(other -> isRepeated(crashesOf.getOrDefault(other, List.of())));
    }

    private boolean hasCrashWithout(CrashSuspect suspect, List<CrashRecord> own) {
        return crashes.stream().anyMatch(crash -> isCrashWithout(crash, suspect, own));
    }

    private boolean hasUnexplainedCrashWithout(CrashSuspect suspect, List<CrashRecord> own) {
        return crashes.stream()
                .filter(crash -> !explained.contains(crash))
                .anyMatch(crash -> isCrashWithout(crash, suspect, own));
    }

    /** Returns whether a server of the same service crashed later without the suspect. */
    private boolean isCrashWithout(CrashRecord crash, CrashSuspect suspect, List<CrashRecord> own) {
        return crash.service().equals(own.get(0).service())
                && own.stream().anyMatch(first -> crash.nanos() - first.nanos() > 0)
                && !isSuspect(suspect, crash);
    }

    /** Returns false if one of two suspects may be no more than a wider view of the other. */
    private static boolean isComparable(CrashSuspect suspect, CrashSuspect other) {
        boolean samePrompts =
                PROMPT_KINDS.contains(suspect.kind()) && PROMPT_KINDS.contains(other.kind());
        return suspect.kind() == other.kind() || samePrompts;
    }

    /** Returns whether a comparable suspect was on all servers that crashed. */
    private boolean hasRival(CrashSuspect suspect, List<CrashRecord> own) {
        return own.get(0).suspects().stream()
                .filter(other -> !other.equals(suspect))
                .filter(other -> isComparable(suspect, other))
                .filter(other -> !suspect.isShared() || !isProven(other))
                .anyMatch(other -> own.stream().allMatch(crash -> isSuspect(other, crash)));
    }
}
