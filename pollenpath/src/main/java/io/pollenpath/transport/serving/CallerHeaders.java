package io.pollenpath.transport.serving;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The values that a caller sends in the headers of its request.
 *
 * @param requestId the ID of this attempt; empty string if there is none
 * @param key the API key of the customer
 * @param callerTimeoutMs the caller timeout, in milliseconds
 * @param lastEventId the ID of the event after which to resume a stream
 */
public record CallerHeaders(
        String requestId,
        Optional<String> key,
        OptionalLong callerTimeoutMs,
        OptionalLong lastEventId) {

    /** Checks the components. */
    public CallerHeaders {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(callerTimeoutMs, "callerTimeoutMs");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
