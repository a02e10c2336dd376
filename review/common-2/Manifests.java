package io.pollenpath.review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds what the operator and the engines write to the store. */
public final class Manifests {

    /** The kind of the engines' entries. */
    public static final String SERVERS = "servers";

    /** The kind of the manifest. */
    public static final String CONFIG = "config";

    /** The name of the newest manifest. */
    public static final String NEWEST = "main";

    /** The host name of all routes. */
    public static final String HOST = "letters.example";

    /** The only API key. */
    public static final String API_KEY = "key-of-clerks";

    /** The only tenant. */
    public static final String TENANT = "clerks";

    private static final long LONGEST_PAUSE_MS = 120;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Manifests() {}

    /** Returns a manifest without routes. */
    public static ObjectNode manifest(long version, String service) {
        ObjectNode manifest = MAPPER.createObjectNode().put("Version", version);
        manifest.putArray("Routes");
        ObjectNode declared = manifest.putArray("Services").addObject();
        declared.put("Name", service).put("HealthPath", "/health").put("MaxConns", 100);
        declared.put("Protocol", "h1").put("Tls", false);
        manifest.putObject("Limits")
                .put("MaxHeaderBytes", 16_384)
                .put("MaxBodyBytes", 4_194_304)
                .put("HeaderTimeoutMs", 3_000)
                .put("IdleTimeoutMs", 15_000);
        ObjectNode tenant = manifest.putArray("Tenants").addObject().put("Name", TENANT);
        tenant.putArray("ApiKeys").add(API_KEY);
        tenant.put("Priority", 1);
        return manifest;
    }

    /** Adds a route whose path prefix is its name, with an eighth of its timeout as objective. */
    public static void addRoute(
            ObjectNode manifest, String name, String kind, String service, long timeoutMs) {
        addRoute(manifest, name, kind, service, timeoutMs, timeoutMs / 8);
    }

    /** Adds a route whose path prefix is its name. */
    public static void addRoute(
            ObjectNode manifest,
            String name,
            String kind,
            String service,
            long timeoutMs,
            long objectiveMs) {
        ObjectNode route = manifest.withArray("Routes").addObject();
        if (kind.equals("streaming")) {
            route.put("GapTargetMs", LONGEST_PAUSE_MS);
        }
        route
                .put("Name", name)
                .put("Host", HOST)
                .put("PathPrefix", "/" + name + "/")
                .put("Kind", kind)
                .put("TimeoutMs", timeoutMs)
                .put("SloMs", objectiveMs)
                .put("Priority", 1)
                .put("Service", service)
                .put("Attempts", 2)
                .put("Public", false);
    }

    /** Returns the store's entry of an engine that is ready. */
    public static ObjectNode serverEntry(String service, int port, int slots, long bornMs) {
        return MAPPER.createObjectNode()
                .put("Service", service)
                .put("Address", "127.0.0.1:" + port)
                .put("Zone", "zone-a")
                .put("Version", "v1")
                .put("Slots", slots)
                .put("State", "ready")
                .put("ColdRemainingMs", 0)
                .put("Seq", 1)
                .put("born", bornMs);
    }
}
