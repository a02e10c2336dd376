package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.state.RunClaim;
import io.pollenpath.util.Json;

/** Converts claims on non-idempotent requests to and from their stored objects. */
public final class ClaimObjects {

    /** Object kind of a claim. */
    public static final String RUN_CLAIM = "RunClaim";

    private ClaimObjects() {}

    /**
     * Converts a claim to its stored object.
     *
     * @param claim the claim, not null
     * @return the object, with the resource version of the claim
     */
    public static ApiObject toObject(RunClaim claim) {
        ObjectNode spec = Json.object();
        spec.put("contentDigest", claim.contentDigest());
        spec.put("executor", claim.executor());
        spec.put("incarnation", Long.toString(claim.incarnation()));
        spec.put("executorTimeMs", claim.executorTimeMs());
        spec.put("attempt", claim.attempt());
        spec.put("released", claim.released());
        return ApiObject.of(RUN_CLAIM, claim.requestId(), spec).withVersion(claim.version());
    }

    /**
     * Converts a stored object to the claim.
     *
     * @param object an object of kind {@code RunClaim}, not null
     * @return the claim
     * @throws IllegalArgumentException if a field is malformed, missing or out of range
     */
    public static RunClaim fromObject(ApiObject object) {
        JsonNode spec = object.spec();
        return new RunClaim(
                object.name(),
                spec.path("contentDigest").asText(""),
                spec.path("executor").asText(""),
                Long.parseLong(spec.path("incarnation").asText("0")),
                spec.path("executorTimeMs").asLong(),
                spec.path("attempt").asInt(),
                0,
                spec.path("released").asBoolean(false),
                object.version());
    }
}
