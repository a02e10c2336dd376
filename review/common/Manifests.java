package review.common;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.util.Json;

/** Manifests and entries of engines, as the operator and the engines write them. */
public final class Manifests {

    /** The host name of all routes. */
    public static final String HOST = "letters.example";

    /** The only API key. */
    public static final String KEY = "key-1";

    private Manifests() {}

    /** Returns a manifest without routes and services. */
    public static ObjectNode empty() {
        ObjectNode manifest = Json.object().put("Version", 7);
        manifest.putArray("Routes");
        manifest.putArray("Services");
        manifest.putObject("Limits")
                .put("MaxHeaderBytes", 16_384)
                .put("MaxBodyBytes", 4_194_304)
                .put("HeaderTimeoutMs", 3_000)
                .put("IdleTimeoutMs", 15_000);
        ObjectNode tenant = manifest.putArray("Tenants").addObject().put("Name", "tenant-1");
        tenant.putArray("ApiKeys").add(KEY);
        return manifest;
    }

    /** Adds a route; its path is its name. */
    public static ObjectNode addRoute(
            ObjectNode manifest, String name, String kind, String service, long timeoutMs) {
        return manifest.withArray("Routes")
                .addObject()
                .put("Name", name)
                .put("Host", HOST)
                .put("PathPrefix", "/" + name + "/")
                .put("Kind", kind)
                .put("TimeoutMs", timeoutMs)
                .put("SloMs", 500)
                .put("Priority", 1)
                .put("Attempts", 2)
                .put("Public", false)
                .put("GapTargetMs", 120)
                .put("Service", service);
    }

    /** Adds a service without model engines. */
    public static ObjectNode addService(ObjectNode manifest, String name, int maxConnections) {
        ArrayNode services = manifest.withArray("Services");
        return services.addObject()
                .put("Name", name)
                .put("HealthPath", "/health")
                .put("MaxConns", maxConnections)
                .put("Protocol", "h1")
                .put("Tls", false);
    }

    /** Returns the entry of an engine that is ready. */
    public static ObjectNode server(String service, int port, int slots) {
        return Json.object()
                .put("Service", service)
                .put("Address", "127.0.0.1:" + port)
                .put("Zone", "zone-a")
                .put("Version", "v1")
                .put("Slots", slots)
                .put("State", "ready")
                .put("ColdRemainingMs", 0)
                .put("born", System.currentTimeMillis())
                .put("Seq", 1);
    }
}
