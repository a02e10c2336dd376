package io.pollenpath.transport.serving;

import java.util.List;
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
 * @param promptParts the IDs of the parts of the prompt, in their order; the last part belongs to
 *     the request alone; empty if the caller names none
 */
public record CallerHeaders(
        String requestId,
        Optional<String> key,
        OptionalLong callerTimeoutMs,
        OptionalLong lastEventId,
        List<String> promptParts) {

    /** Checks the components. */
    public CallerHeaders {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(callerTimeoutMs, "callerTimeoutMs");
        Objects.requireNonNull(lastEventId, "lastEventId");
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the parts of the prompt that other requests may have too.
     *
     * @return the IDs of all parts but the last one
     */
    public List<String> sharedPromptParts() {
        return promptParts.isEmpty() ? promptParts : promptParts.subList(0, promptParts.size() - 1);
    }
}
