package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.state.serving.CallerLimits;
import io.pollenpath.state.serving.ClientAccount;
import io.pollenpath.state.serving.EnginePerformance;
import io.pollenpath.state.serving.GroupShape;
import io.pollenpath.state.serving.Repeatability;
import io.pollenpath.state.serving.Route;
import io.pollenpath.state.serving.ServiceSpec;
import io.pollenpath.state.serving.ServingConfig;
import io.pollenpath.state.serving.WeightedService;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decodes the manifest, the configuration that the operator writes to the store. The platform's
 * tenants are the product's client accounts.
 */
final class ManifestDecoder {

    private static final String NON_IDEMPOTENT = "non_idempotent";
    private static final String STREAMING = "streaming";
    private static final double MS_PER_SECOND = 1_000;
    private static final double BITS_PER_BYTE = 8;
    private static final int DEFAULT_MAX_CONNECTIONS = 64;

    private ManifestDecoder() {}

    /**
     * Decodes a manifest.
     *
     * @param root the manifest
     * @return the configuration
     * @throws IllegalArgumentException if a required field is missing or a value is not valid
     */
    static ServingConfig decode(JsonNode root) {
        if (!root.path("Version").isIntegralNumber()) {
            throw new IllegalArgumentException(
                    "the manifest has no integer field Version; the operator must set it");
        }
        List<Route> routes = new ArrayList<>();
        root.path("Routes").forEach(node -> routes.add(route(node)));
        List<ServiceSpec> services = new ArrayList<>();
        root.path("Services").forEach(node -> services.add(service(node)));
        JsonNode tenants = root.path("Tenants");
        return new ServingConfig(
                root.path("Version").asLong(),
                routes,
                services,
                accounts(tenants),
                tenants.isArray(),
                limits(root.path("Limits")));
    }

    private static Route route(JsonNode node) {
        String kind = node.path("Kind").asText("");
        boolean streaming = kind.equals(STREAMING);
        boolean nonIdempotent = streaming || kind.equals(NON_IDEMPOTENT);
        long timeoutMs = node.path("TimeoutMs").asLong();
        return new Route(
                node.path("Name").asText(""),
                node.path("Host").asText(""),
                node.path("PathPrefix").asText(""),
                nonIdempotent ? Repeatability.NON_IDEMPOTENT : Repeatability.IDEMPOTENT,
                streaming,
                node.path("Resumable").asBoolean(false),
                Math.max(1, node.path("Attempts").asInt(1)),
                timeoutMs,
                node.path("SloMs").asLong(timeoutMs),
                node.path("GapTargetMs").asLong(0),
                node.path("Priority").asInt(0),
                node.path("Public").asBoolean(false),
                targets(node));
    }

    private static List<WeightedService> targets(JsonNode node) {
        List<WeightedService> targets = new ArrayList<>();
        for (JsonNode share : node.path("TrafficSplit")) {
            targets.add(
                    new WeightedService(
                            share.path("Service").asText(""), share.path("Weight").asDouble(0)));
        }
        if (targets.isEmpty()) {
            targets.add(new WeightedService(node.path("Service").asText(""), 1));
        }
        return targets;
    }

    private static ServiceSpec service(JsonNode node) {
        JsonNode engine = node.path("Engine");
        return new ServiceSpec(
                node.path("Name").asText(""),
                Math.max(1, node.path("MaxConns").asInt(DEFAULT_MAX_CONNECTIONS)),
                engine.isObject() ? Optional.of(enginePerformance(engine)) : Optional.empty(),
                engine.has("Experts") ? Optional.of(groupShape(engine)) : Optional.empty());
    }

    private static EnginePerformance enginePerformance(JsonNode engine) {
        return new EnginePerformance(
                engine.path("Slots").asInt(1),
                engine.path("step_ms").asDouble(),
                engine.path("per_seq_ms").asDouble(),
                engine.path("read_per_s").asDouble() / MS_PER_SECOND,
                engine.path("chunk").asInt(1),
                engine.path("Stride").asInt(1),
                engine.path("usual").path("answer").asInt(1),
                engine.path("KvCapacity").asLong());
    }

    private static GroupShape groupShape(JsonNode engine) {
        return new GroupShape(
                engine.path("Sets").asInt(1),
                engine.path("Experts").asInt(1),
                engine.path("Placements").asInt(1),
                engine.path("Spare").asInt(0),
                engine.path("ExpertShare").asDouble(),
                fetchMs(engine));
    }

    /** Returns the time to fetch one expert; 0 if the manifest does not tell its parts. */
    private static double fetchMs(JsonNode engine) {
        double linkMbPerMs = engine.path("LinkMbps").asDouble() / BITS_PER_BYTE / MS_PER_SECOND;
        return linkMbPerMs > 0 ? engine.path("ExpertMb").asDouble() / linkMbPerMs : 0;
    }

    private static Map<String, ClientAccount> accounts(JsonNode tenants) {
        Map<String, ClientAccount> byKey = new HashMap<>();
        for (JsonNode tenant : tenants) {
            ClientAccount account =
                    new ClientAccount(
                            tenant.path("Name").asText(""),
                            tenant.path("Priority").asInt(ClientAccount.ROUTE_PRIORITY));
            tenant.path("ApiKeys").forEach(key -> byKey.put(key.asText(), account));
        }
        return byKey;
    }

    private static CallerLimits limits(JsonNode node) {
        CallerLimits defaults = CallerLimits.DEFAULT;
        return new CallerLimits(
                node.path("MaxHeaderBytes").asInt(defaults.maxHeaderBytes()),
                node.path("MaxBodyBytes").asInt(defaults.maxBodyBytes()),
                node.path("HeaderTimeoutMs").asLong(defaults.headerTimeoutMs()),
                node.path("IdleTimeoutMs").asLong(defaults.idleTimeoutMs()));
    }
}
