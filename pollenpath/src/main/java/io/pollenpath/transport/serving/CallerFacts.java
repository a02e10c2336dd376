package io.pollenpath.transport.serving;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds what a caller says about its request in headers.
 *
 * @param requestId the identity of this attempt; empty text if there is none
 * @param key the customer's key
 * @param patienceMs how long the caller will wait, in milliseconds
 * @param lastEventId the event after which a stream is resumed
 */
public record CallerFacts(
        String requestId, Optional<String> key, OptionalLong patienceMs, OptionalLong lastEventId) {

    /** Checks the components. */
    public CallerFacts {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(patienceMs, "patienceMs");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
