package io.pollenpath.state;

import java.util.Comparator;
import java.util.List;

/**
 * A plain HTTP service and which of its calls are idempotent.
 *
 * @param name the name that callers use, not empty
 * @param timeoutMs the timeout of a call, in milliseconds, at least 1
 * @param repeatable whether the calls that {@code calls} does not list may be run more than once
 * @param calls the calls that override {@code repeatable}; sorted by the constructor, longest path
 *     first
 */
public record PlainService(
        String name, int timeoutMs, boolean repeatable, List<ServiceCall> calls) {

    /** Checks the components and sorts the calls. */
    public PlainService {
        if (name == null || name.isEmpty()) {
            throw new IllegalArgumentException("name is empty; name the service");
        }
        if (timeoutMs < 1) {
            throw new IllegalArgumentException(
                    "timeoutMs is " + timeoutMs + "; set it to at least 1");
        }
        calls =
                calls.stream()
                        .sorted(Comparator.comparingInt((ServiceCall c) -> -c.path().length()))
                        .toList();
    }

    /**
     * Returns whether a call may be run more than once.
     *
     * @param method the HTTP method, not null
     * @param path the path at the service, not null
     * @return the value of the listed call with the longest matching path, or {@code repeatable} if
     *     none matches
     */
    public boolean isRepeatable(String method, String path) {
        for (ServiceCall call : calls) {
            if (call.matches(method, path)) {
                return call.repeatable();
            }
        }
        return repeatable;
    }
}
