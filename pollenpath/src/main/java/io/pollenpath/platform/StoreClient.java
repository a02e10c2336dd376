package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.util.Json;
import io.pollenpath.util.LenientJson;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Calls the HTTP API of the platform's object store. */
final class StoreClient {

    private static final String OBJECTS_PATH = "/api/objects/";
    private static final String ITEMS = "Items";
    private static final String REVISION = "CurrentRev";
    private static final byte[] NO_BODY = new byte[0];
    private static final int STATUS_OK = 200;
    private static final int FIRST_NON_SUCCESS_STATUS = 300;
    private static final int STATUS_TOO_MANY_CALLS = 429;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private static final String ERA = "Store-Era";

    private final HttpClient http;
    private final StoreEra era = new StoreEra();
    private final StoreContact contact = new StoreContact(System.nanoTime());
    private volatile HttpAddress address;

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param address the address of the store
     */
    StoreClient(HttpClient http, HttpAddress address) {
        this.http = http;
        this.address = address;
    }

    /** Returns the era of the store, as its latest answers name it. */
    StoreEra era() {
        return era;
    }

    /** Returns what the calls tell of whether the store answers. */
    StoreContact contact() {
        return contact;
    }

    /** Changes the address to which later calls are sent. */
    void setAddress(HttpAddress newAddress) {
        address = newAddress;
    }

    /**
     * Reads one page of the objects of a kind, sorted by name.
     *
     * @param kind the kind
     * @param afterName the name after which the page starts, sent as the platform's parameter
     *     {@code SinceRev}; empty for the first page
     * @param timeoutMs the timeout of the call, in milliseconds
     */
    CompletableFuture<JsonNode> list(String kind, String afterName, long timeoutMs) {
        String query = afterName.isEmpty() ? "" : "?SinceRev=" + encode(afterName);
        return call("GET", OBJECTS_PATH + kind + query, NO_BODY, timeoutMs)
                .thenApply(StoreClient::requirePage);
    }

    /**
     * Returns a page of a list. An answer that is cut behind its head, or that belongs to another
     * call, is no empty list.
     */
    private static JsonNode requirePage(JsonNode answer) {
        if (!answer.has(ITEMS) || !answer.has(REVISION)) {
            throw new IllegalStateException("the answer to a list is no page");
        }
        return answer;
    }

    /**
     * Reads the changes of a kind after a revision.
     *
     * @param kind the kind
     * @param revision the last known revision
     * @param waitMs how long the store holds the call open when there are no changes, in
     *     milliseconds
     * @param timeoutMs the timeout of the call, in milliseconds
     */
    CompletableFuture<JsonNode> watch(String kind, long revision, long waitMs, long timeoutMs) {
        String query = "?Watch=" + revision + "&WaitMs=" + waitMs;
        return call("GET", OBJECTS_PATH + kind + query, NO_BODY, timeoutMs)
                .thenApply(StoreClient::requireChanges);
    }

    /** Returns the answer to a watch. The revision of a list must not skip changes. */
    private static JsonNode requireChanges(JsonNode answer) {
        if (!answer.has(REVISION) || answer.has(ITEMS)) {
            throw new IllegalStateException("the answer to a watch names no changes");
        }
        return answer;
    }

    /** Reads one object; fails with {@link StoreException} and status 404 if there is none. */
    CompletableFuture<JsonNode> read(String kind, String name, long timeoutMs) {
        return call("GET", path(kind, name), NO_BODY, timeoutMs);
    }

    /** Creates an object; fails with {@link StoreException} and status 409 if it exists. */
    CompletableFuture<JsonNode> create(String kind, String name, ObjectNode spec, long timeoutMs) {
        ObjectNode object = Json.object();
        object.putObject("Metadata").put("Name", name);
        object.set("Spec", spec);
        return call("POST", OBJECTS_PATH + kind, Json.bytes(object), timeoutMs);
    }

    /**
     * Replaces an object if it still has the given revision; fails with {@link StoreException} and
     * status 409 otherwise.
     */
    CompletableFuture<JsonNode> replace(
            String kind, String name, ObjectNode spec, long revision, long timeoutMs) {
        ObjectNode object = Json.object();
        object.putObject("Metadata").put("Name", name).put("Revision", revision);
        object.set("Spec", spec);
        return call("PUT", path(kind, name), Json.bytes(object), timeoutMs);
    }

    /** Replaces an object, whatever its revision. */
    CompletableFuture<JsonNode> overwrite(
            String kind, String name, ObjectNode spec, long timeoutMs) {
        ObjectNode object = Json.object();
        object.putObject("Metadata").put("Name", name);
        object.set("Spec", spec);
        return call("PUT", path(kind, name), Json.bytes(object), timeoutMs);
    }

    /** Deletes an object. */
    CompletableFuture<JsonNode> delete(String kind, String name, long timeoutMs) {
        return call("DELETE", path(kind, name), NO_BODY, timeoutMs);
    }

    private static String path(String kind, String name) {
        return OBJECTS_PATH + kind + "/" + encode(name);
    }

    private static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    private CompletableFuture<JsonNode> call(
            String method, String path, byte[] body, long timeoutMs) {
        Map<String, String> headers =
                body.length == 0 ? Map.of() : Map.of("Content-Type", "application/json");
        String call = method + " " + path;
        long begunNanos = System.nanoTime();
        CompletableFuture<HttpReply> reply =
                http.send(new HttpClient.Request(address, method, path, headers, body));
        return reply.orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .whenComplete((response, failure) -> record(call, begunNanos, response, failure))
                .thenApply(response -> decode(response, call));
    }

    /** Records what a call tells of the store; one that refuses calls is away for this process. */
    private void record(String call, long begunNanos, HttpReply response, Throwable failure) {
        long nowNanos = System.nanoTime();
        if (failure != null) {
            contact.onFailure(begunNanos, failure, nowNanos);
        } else if (isRefusal(response.status())) {
            contact.onFailure(begunNanos, new StoreException(response.status(), call), nowNanos);
        } else {
            contact.onAnswer(nowNanos);
        }
    }

    private static boolean isRefusal(int status) {
        return status == STATUS_TOO_MANY_CALLS || status >= FIRST_SERVER_ERROR_STATUS;
    }

    private JsonNode decode(HttpReply reply, String call) {
        if (!era.onAnswer(reply.headers().get(ERA), call, System.nanoTime())) {
            throw new IllegalStateException(
                    call + " was answered before the store came back from a copy; repeat it");
        }
        if (reply.status() < STATUS_OK || reply.status() >= FIRST_NON_SUCCESS_STATUS) {
            throw new StoreException(reply.status(), call);
        }
        return LenientJson.parse(reply.body());
    }
}
