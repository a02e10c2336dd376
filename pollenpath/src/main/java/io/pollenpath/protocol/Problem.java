package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.state.Executed;
import io.pollenpath.util.Json;
import java.util.Objects;

/**
 * The problem details (RFC 9457) of a refused or failed request, as sent to the caller.
 *
 * @param status the HTTP status
 * @param code the machine-readable problem code, such as {@code unknown_model}, not null
 * @param detail the cause and the remedy, not null
 * @param executed whether the request was executed, not null
 * @param retryAfterMs the time after which to retry, in milliseconds; 0 if a retry cannot help
 */
public record Problem(int status, String code, String detail, Executed executed, int retryAfterMs) {

    /** Media type of the body. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final int MS_PER_SECOND = 1_000;

    /** Checks the components. */
    public Problem {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(executed, "executed");
    }

    /**
     * Creates the problem of a request that was not executed and that a retry cannot help.
     *
     * @param status the HTTP status
     * @param code the machine-readable problem code, not null
     * @param detail the cause and the remedy, not null
     * @return the problem
     */
    public static Problem rejected(int status, String code, String detail) {
        return new Problem(status, code, detail, Executed.NO, 0);
    }

    /**
     * Returns the value of the {@code Retry-After} header.
     *
     * @return whole seconds, rounded up; 0 if a retry cannot help
     */
    public int retryAfterSeconds() {
        return (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
    }

    /**
     * Returns the response body.
     *
     * @param requestId the request ID; empty if the request has none, not null
     * @return UTF-8 JSON
     */
    public byte[] toJson(String requestId) {
        ObjectNode node = Json.object();
        node.put("type", "urn:pollenpath:problem:" + code);
        node.put("title", code);
        node.put("status", status);
        node.put("detail", detail);
        node.put("executed", executed.wireName());
        if (retryAfterMs > 0) {
            node.put("retryAfterMs", retryAfterMs);
        }
        if (!requestId.isEmpty()) {
            node.put("requestId", requestId);
        }
        return Json.bytes(node);
    }
}
