package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The latest answers to requests with a shared suspect. A bounded number is kept. */
final class RecentAnswers {

    /** The number of suspects whose answers are remembered. */
    static final int MAX_SUSPECTS = 4_096;

    private final Map<CrashSuspect, Long> nanos =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<CrashSuspect, Long> eldest) {
                    return size() > MAX_SUSPECTS;
                }
            };

    void add(CrashSuspect suspect, long nowNanos) {
        nanos.put(suspect, nowNanos);
    }

    /** Returns the time of the latest answer, in nanoseconds; empty if there was none. */
    Optional<Long> latest(CrashSuspect suspect) {
        return Optional.ofNullable(nanos.get(suspect));
    }
}
