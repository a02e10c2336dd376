package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest answers to requests with a shared suspect. A bounded number is kept of each kind, so
 * that suspects of requests that come once do not displace those that many requests share.
 */
final class RecentAnswers {

    /** The number of parts of prompts whose answers are remembered. */
    static final int MAX_PARTS = 8_192;

    /** The number of suspects of each other kind whose answers are remembered. */
    static final int MAX_OTHERS = 1_024;

    private final Map<CrashSuspect.Kind, Map<CrashSuspect, Long>> byKind =
            new EnumMap<>(CrashSuspect.Kind.class);

    private static Map<CrashSuspect, Long> newBoundedMap(CrashSuspect.Kind kind) {
        int maxSize = kind == CrashSuspect.Kind.PROMPT_PART ? MAX_PARTS : MAX_OTHERS;
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<CrashSuspect, Long> eldest) {
                return size() > maxSize;
            }
        };
    }

    void add(CrashSuspect suspect, long nowNanos) {
        answersOf(suspect).put(suspect, nowNanos);
    }

    /** Returns the time of the latest answer, in nanoseconds; empty if there was none. */
    Optional<Long> latest(CrashSuspect suspect) {
        return Optional.ofNullable(answersOf(suspect).get(suspect));
    }

    private Map<CrashSuspect, Long> answersOf(CrashSuspect suspect) {
        return byKind.computeIfAbsent(suspect.kind(), RecentAnswers::newBoundedMap);
    }
}
