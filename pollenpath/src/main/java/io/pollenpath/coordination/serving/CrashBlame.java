package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Attributes crashes to the requests that explain most of them. A request that was in flight on
 * many crashed servers explains those crashes, so the other requests on these servers are not
 * blamed for them.
 */
final class CrashBlame {

    private CrashBlame() {}

    /**
     * Counts the crashes that each suspect is blamed for.
     *
     * @param suspects the suspects of each crash
     * @param minCrashes the number of crashes from which a suspect explains the crashes
     * @return the number of crashes of each suspect with at least one
     */
    static Map<CrashSuspect, Integer> assign(List<Set<CrashSuspect>> suspects, int minCrashes) {
        Map<CrashSuspect, Integer> blame = new HashMap<>();
        List<Set<CrashSuspect>> unexplained = new ArrayList<>(suspects);
        Map<CrashSuspect, Integer> counts = count(unexplained);
        while (!counts.isEmpty() && Collections.max(counts.values()) >= minCrashes) {
            int most = Collections.max(counts.values());
            Set<CrashSuspect> culprits = new HashSet<>();
            counts.forEach(
                    (request, count) -> {
                        if (count == most) {
                            culprits.add(request);
                            blame.put(request, count);
                        }
                    });
            unexplained.removeIf(crash -> !Collections.disjoint(crash, culprits));
            counts = count(unexplained);
        }
        blame.putAll(counts);
        return blame;
    }

    private static Map<CrashSuspect, Integer> count(List<Set<CrashSuspect>> suspects) {
        Map<CrashSuspect, Integer> counts = new HashMap<>();
        for (Set<CrashSuspect> crash : suspects) {
            crash.forEach(request -> counts.merge(request, 1, Integer::sum));
        }
        return counts;
    }
}
