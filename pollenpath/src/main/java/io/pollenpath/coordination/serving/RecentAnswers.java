package io.pollenpath.coordination.serving;

import io.pollenpath.state.serving.CrashSuspect;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest answers to requests with a shared suspect. A bounded number is kept, of parts of
 * prompts apart from the rest: most requests come once, and would displace the parts.
 */
final class RecentAnswers {

    /** The number of parts of prompts whose answers are remembered. */
    static final int MAX_PARTS = 8_192;

    /** The number of other suspects whose answers are remembered. */
    static final int MAX_OTHERS = 1_024;

    private final Map<CrashSuspect, Long> ofParts = newBoundedMap(MAX_PARTS);
    private final Map<CrashSuspect, Long> ofOthers = newBoundedMap(MAX_OTHERS);

    private static Map<CrashSuspect, Long> newBoundedMap(int maxSize) {
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
        return suspect.kind() == CrashSuspect.Kind.PROMPT_PART ? ofParts : ofOthers;
    }
}
