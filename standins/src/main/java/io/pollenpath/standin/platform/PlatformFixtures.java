package io.pollenpath.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;
import java.util.List;

/** Creates objects as engines and operators of the platform write them to the store. */
public final class PlatformFixtures {

    /** The host name of all routes. */
    public static final String HOST = "letters.example";

    /** The API key of the only client account. */
    public static final String API_KEY = "key-1";

    /** The name of the only client account. */
    public static final String ACCOUNT = "clerks";

    private PlatformFixtures() {}

    /**
     * Returns the store entry of an engine that is ready to serve.
     *
     * @param service the name of the service that the engine belongs to, not null
     * @param port the port of the engine on the loopback address
     * @return the entry
     */
    public static ObjectNode serverEntry(String service, int port) {
        return Json.object()
                .put("Service", service)
                .put("Address", "127.0.0.1:" + port)
                .put("Zone", "zone-a")
                .put("Version", "v1")
                .put("Slots", 8)
                .put("State", "ready")
                .put("ColdRemainingMs", 0)
                .put("Seq", 1);
    }

    /**
     * Returns a manifest with idempotent, non-idempotent, streaming and public routes, one service
     * and one client account.
     *
     * @param version the manifest version
     * @param service the name of the service that all routes lead to, not null
     * @return the manifest
     */
    public static ObjectNode manifest(long version, String service) {
        ObjectNode manifest = Json.object().put("Version", version);
        ArrayNode routes = manifest.putArray("Routes");
        routes.add(route("plain", "idempotent", service));
        routes.add(route("once", "non_idempotent", service));
        routes.add(route("stream", "streaming", service).put("Resumable", true));
        routes.add(route("stream-final", "streaming", service));
        routes.add(route("open", "idempotent", service).put("Public", true));
        ObjectNode declared = manifest.putArray("Services").addObject();
        declared.put("Name", service).put("MaxConns", 100).set("Engine", engine());
        manifest.putObject("Limits")
                .put("MaxHeaderBytes", 8_192)
                .put("MaxBodyBytes", 65_536)
                .put("HeaderTimeoutMs", 2_000)
                .put("IdleTimeoutMs", 5_000);
        ObjectNode tenant = manifest.putArray("Tenants").addObject().put("Name", ACCOUNT);
        tenant.putArray("ApiKeys").add(API_KEY);
        return manifest;
    }

    /**
     * Returns the manifest of {@link #manifest} with a further idempotent route.
     *
     * @param version the manifest version
     * @param service the name of the service that all routes lead to, not null
     * @param route the name of the further route, which is also its path, not null
     * @return the manifest
     */
    public static ObjectNode manifestWithRoute(long version, String service, String route) {
        ObjectNode manifest = manifest(version, service);
        manifest.withArray("Routes").add(route(route, "idempotent", service));
        return manifest;
    }

    /**
     * Returns the manifest of {@link #manifest} with further client accounts.
     *
     * @param version the manifest version
     * @param service the name of the service that all routes lead to, not null
     * @param apiKeys the API key of each further account, which is also its name, not null
     * @return the manifest
     */
    public static ObjectNode manifestWithAccounts(
            long version, String service, List<String> apiKeys) {
        ObjectNode manifest = manifest(version, service);
        for (String apiKey : apiKeys) {
            ObjectNode tenant = manifest.withArray("Tenants").addObject().put("Name", apiKey);
            tenant.putArray("ApiKeys").add(apiKey);
        }
        return manifest;
    }

    /**
     * Returns the manifest of {@link #manifest} with another number of attempts and another timeout
     * on all routes.
     *
     * @param version the manifest version
     * @param service the name of the service that all routes lead to, not null
     * @param attempts the number of servers to which a request may be sent
     * @param timeoutMs the timeout, in milliseconds
     * @return the manifest
     */
    public static ObjectNode manifestWithAttempts(
            long version, String service, int attempts, long timeoutMs) {
        ObjectNode manifest = manifest(version, service);
        manifest.withArray("Routes")
                .forEach(
                        route ->
                                ((ObjectNode) route)
                                        .put("Attempts", attempts)
                                        .put("TimeoutMs", timeoutMs));
        return manifest;
    }

    private static ObjectNode engine() {
        return Json.object()
                .put("Slots", 8)
                .put("step_ms", 4.5)
                .put("per_seq_ms", 1.3)
                .put("read_per_s", 60_000)
                .put("chunk", 512)
                .put("Stride", 4)
                .put("Sets", 1)
                .put("Experts", 2)
                .put("Placements", 2)
                .put("Spare", 1)
                .put("ExpertShare", 0.85);
    }

    private static ObjectNode route(String name, String kind, String service) {
        return Json.object()
                .put("Name", name)
                .put("Host", HOST)
                .put("PathPrefix", "/" + name + "/")
                .put("Kind", kind)
                .put("TimeoutMs", 2_000)
                .put("SloMs", 300)
                .put("Priority", 1)
                .put("Attempts", 2)
                .put("Public", false)
                .put("GapTargetMs", 120)
                .put("Service", service);
    }
}
