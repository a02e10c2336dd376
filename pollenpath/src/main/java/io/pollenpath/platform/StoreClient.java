package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.util.Json;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Calls the platform's store. */
final class StoreClient {

    private static final String OBJECTS = "/api/objects/";
    private static final byte[] NO_BODY = new byte[0];
    private static final int STATUS_OK = 200;
    private static final int FIRST_NOT_SUCCESS = 300;

    private final HttpClient http;
    private volatile HttpAddress address;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param address the store
     */
    StoreClient(HttpClient http, HttpAddress address) {
        this.http = http;
        this.address = address;
    }

    /** Sends further calls to another address. */
    void moveTo(HttpAddress next) {
        address = next;
    }

    /** Reads one page of a kind that follows a name; an empty name reads the first page. */
    CompletableFuture<JsonNode> list(String kind, String afterName, long timeoutMs) {
        String query = afterName.isEmpty() ? "" : "?SinceRev=" + encode(afterName);
        return call("GET", OBJECTS + kind + query, NO_BODY, timeoutMs);
    }

    /** Waits for changes of a kind after a revision. */
    CompletableFuture<JsonNode> watch(String kind, long revision, long waitMs, long timeoutMs) {
        String query = "?Watch=" + revision + "&WaitMs=" + waitMs;
        return call("GET", OBJECTS + kind + query, NO_BODY, timeoutMs);
    }

    /** Reads one object; fails with status 404 if it does not exist. */
    CompletableFuture<JsonNode> read(String kind, String name, long timeoutMs) {
        return call("GET", path(kind, name), NO_BODY, timeoutMs);
    }

    /** Creates an object; fails with status 409 if it exists. */
    CompletableFuture<JsonNode> create(String kind, String name, ObjectNode spec, long timeoutMs) {
        ObjectNode object = Json.object();
        object.putObject("Metadata").put("Name", name);
        object.set("Spec", spec);
        return call("POST", OBJECTS + kind, Json.bytes(object), timeoutMs);
    }

    /** Replaces an object if it still has a revision; fails with status 409 otherwise. */
    CompletableFuture<JsonNode> replace(
            String kind, String name, ObjectNode spec, long revision, long timeoutMs) {
        ObjectNode object = Json.object();
        object.putObject("Metadata").put("Name", name).put("Revision", revision);
        object.set("Spec", spec);
        return call("PUT", path(kind, name), Json.bytes(object), timeoutMs);
    }

    /** Removes an object. */
    CompletableFuture<JsonNode> delete(String kind, String name, long timeoutMs) {
        return call("DELETE", path(kind, name), NO_BODY, timeoutMs);
    }

    private static String path(String kind, String name) {
        return OBJECTS + kind + "/" + encode(name);
    }

    private static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    private CompletableFuture<JsonNode> call(
            String method, String path, byte[] body, long timeoutMs) {
        Map<String, String> headers =
                body.length == 0 ? Map.of() : Map.of("Content-Type", "application/json");
        CompletableFuture<HttpReply> reply =
                http.send(new HttpClient.Request(address, method, path, headers, body));
        return reply.orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .thenApply(answer -> decode(answer, method + " " + path));
    }

    private static JsonNode decode(HttpReply reply, String call) {
        if (reply.status() < STATUS_OK || reply.status() >= FIRST_NOT_SUCCESS) {
            throw new StoreException(reply.status(), call);
        }
        return Json.parse(reply.body());
    }
}
