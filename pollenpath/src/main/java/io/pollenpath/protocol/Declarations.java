package io.pollenpath.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.state.BackendServer;
import io.pollenpath.state.Contract;
import io.pollenpath.state.DeploymentPolicy;
import io.pollenpath.state.PlainService;
import io.pollenpath.state.PriorityClass;
import io.pollenpath.state.RankGroup;
import io.pollenpath.state.RequestKind;
import io.pollenpath.state.ServiceCall;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Converts stored objects to the records that decisions use. */
public final class Declarations {

    /** Kind of a customer's contract. */
    public static final String CONTRACT = "Contract";

    /** Kind of a backend server. */
    public static final String BACKEND_SERVER = "BackendServer";

    /** Kind of the wish of operators to take a backend server, named as the object, out of use. */
    public static final String DRAIN = "Drain";

    /** Kind of a group of ranks. */
    public static final String RANK_GROUP = "RankGroup";

    /** Kind of a plain service. */
    public static final String SERVICE = "Service";

    /** Kind of the deployment-wide policy. */
    public static final String POLICY = "Policy";

    /** Kinds that every process follows. */
    public static final List<String> WATCHED_KINDS = List.of(CONTRACT, BACKEND_SERVER, DRAIN);

    private static final int DEFAULT_DEADLINE_MS = 60_000;
    private static final double DEFAULT_RETRY_BUDGET = 0.1;

    private Declarations() {}

    /**
     * Reads a contract.
     *
     * @param object an object of kind {@code Contract}, not null
     * @return the contract
     * @throws IllegalArgumentException if a field is missing or out of range; names the remedy
     */
    public static Contract toContract(ApiObject object) {
        JsonNode spec = object.spec();
        List<String> digests = new ArrayList<>();
        spec.path("keyDigests").forEach(node -> digests.add(node.asText()));
        Map<String, RequestKind> kinds = new HashMap<>();
        spec.path("kinds")
                .properties()
                .forEach(e -> kinds.put(e.getKey(), kind(e.getKey(), e.getValue())));
        return new Contract(
                object.name(),
                digests,
                spec.path("share").asDouble(1),
                spec.path("requestsPerSecond").asDouble(1),
                spec.path("burst").asInt(1),
                spec.path("maxConcurrent").asInt(1),
                spec.path("retryBudget").asDouble(DEFAULT_RETRY_BUDGET),
                kind("default", spec.path("defaultKind")),
                kinds);
    }

    private static RequestKind kind(String name, JsonNode node) {
        return new RequestKind(
                name,
                PriorityClass.parse(node.path("priority").asText("normal")),
                node.path("repeatable").asBoolean(false),
                node.path("deadlineMs").asInt(DEFAULT_DEADLINE_MS));
    }

    /**
     * Reads whether operators want a backend server out of use.
     *
     * @param object an object of kind {@code Drain}, not null
     * @return true if they do
     */
    public static boolean isDrained(ApiObject object) {
        return object.spec().path("drained").asBoolean(false);
    }

    /**
     * Reads a backend server.
     *
     * @param object an object of kind {@code BackendServer}, not null
     * @return the backend server
     * @throws IllegalArgumentException if a field is missing or out of range; names the remedy
     */
    public static BackendServer toBackendServer(ApiObject object) {
        JsonNode spec = object.spec();
        return new BackendServer(
                object.name(),
                role(spec.path("role").asText("engine")),
                spec.path("target").asText(""),
                spec.path("zone").asText(""),
                spec.path("sideHost").asText("127.0.0.1"),
                spec.path("sidePort").asInt(0),
                spec.path("drained").asBoolean(false));
    }

    /**
     * Reads a group of ranks.
     *
     * @param object an object of kind {@code RankGroup}, not null
     * @return the group
     * @throws IllegalArgumentException if a field is missing or out of range; names the remedy
     */
    public static RankGroup toRankGroup(ApiObject object) {
        JsonNode spec = object.spec();
        List<String> ranks = new ArrayList<>();
        spec.path("ranks").forEach(node -> ranks.add(node.asText()));
        return new RankGroup(
                object.name(),
                spec.path("model").asText(""),
                ranks,
                spec.path("layers").asInt(0),
                spec.path("expertsPerLayer").asInt(0),
                spec.path("expertSlotsPerRank").asInt(0));
    }

    /**
     * Reads a plain service.
     *
     * @param object an object of kind {@code Service}, not null
     * @return the service
     * @throws IllegalArgumentException if a field is missing or out of range; names the remedy
     */
    public static PlainService toService(ApiObject object) {
        JsonNode spec = object.spec();
        List<ServiceCall> calls = new ArrayList<>();
        for (JsonNode call : spec.path("calls")) {
            calls.add(
                    new ServiceCall(
                            call.path("method").asText(""),
                            call.path("path").asText(""),
                            call.path("repeatable").asBoolean(false)));
        }
        return new PlainService(
                object.name(),
                spec.path("timeoutMs").asInt(DEFAULT_DEADLINE_MS),
                spec.path("repeatable").asBoolean(false),
                calls);
    }

    /**
     * Reads the deployment-wide policy.
     *
     * @param object an object of kind {@code Policy}, not null
     * @return the policy; a field that is missing has its default
     * @throws IllegalArgumentException if a field is out of range; names the remedy
     */
    public static DeploymentPolicy toPolicy(ApiObject object) {
        JsonNode spec = object.spec();
        DeploymentPolicy defaults = DeploymentPolicy.DEFAULT;
        return new DeploymentPolicy(
                spec.path("skewWeight").asDouble(defaults.skewWeight()),
                spec.path("rebalanceIntervalMs").asInt(defaults.rebalanceIntervalMs()),
                spec.path("movedBytesPerSecond").asLong(defaults.movedBytesPerSecond()));
    }

    /**
     * Reads a declaration of any kind.
     *
     * @param kind the kind, not null
     * @param object the object, not null
     * @return the record of that kind
     * @throws IllegalArgumentException if a field is missing or out of range; names the remedy
     */
    static Record convert(DeclarationKind kind, ApiObject object) {
        return switch (kind) {
            case CONTRACT -> toContract(object);
            case BACKEND_SERVER -> toBackendServer(object);
            case RANK_GROUP -> toRankGroup(object);
            case SERVICE -> toService(object);
            case POLICY -> toPolicy(object);
        };
    }

    private static BackendServer.Role role(String name) {
        try {
            return BackendServer.Role.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "role '" + name + "' is unknown; use engine or service", e);
        }
    }
}
