package io.pollenpath.transport.serving;

import io.pollenpath.state.serving.Route;
import java.util.HashMap;
import java.util.Map;

/** Tells callers that come back after a refusal from those that come for the first time. */
final class ReturningCallers {

    /**
     * A request whose caller timeout is below this fraction of the longest one seen on its route
     * counts as a retry after a refusal, because a retry has only the remaining time.
     */
    private static final double RETRY_TIMEOUT_FRACTION = 0.95;

    private final Map<String, Long> longestTimeoutMs = new HashMap<>();

    /**
     * Returns whether a caller was refused before.
     *
     * @param route the route of its request, not null
     * @param timeoutMs the time that the caller waits for its answer, in milliseconds
     */
    boolean isRetry(Route route, long timeoutMs) {
        long longestMs = longestTimeoutMs.merge(route.name(), timeoutMs, Math::max);
        return timeoutMs < RETRY_TIMEOUT_FRACTION * longestMs;
    }
}
