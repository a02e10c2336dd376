package review.common;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.pollenpath.util.Json;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** The platform's store: objects with revisions, conditional writes, lists and watches. */
public final class StoreStandin implements AutoCloseable {

    private static final String PREFIX = "/api/objects/";
    private static final int BACKLOG = 256;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(StoreStandin::daemon);
    private final Map<String, Map<String, ObjectNode>> objectsByKind = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 100;

    private record Change(String kind, long revision, ObjectNode event) {}

    private record Reply(int status, JsonNode body) {}

    /** Starts the store on a free port of the loopback address. */
    public StoreStandin() throws IOException {
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG);
        server.setExecutor(threads);
        server.createContext(PREFIX, this::handle);
        server.start();
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "store");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the address of the store as the settings name it. */
    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes an object as the operator or an engine does. */
    public synchronized void put(String kind, String name, JsonNode spec) {
        write(kind, name, spec);
    }

    /** Returns the Spec of an object; null if there is none. */
    public synchronized JsonNode spec(String kind, String name) {
        ObjectNode object = objects(kind).get(name);
        return object == null ? null : object.path("Spec").deepCopy();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Reply reply;
        try {
            reply = serve(exchange, body);
        } catch (InterruptedException e) {
            exchange.close();
            return;
        }
        byte[] bytes = Json.bytes(reply.body());
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(reply.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private Reply serve(HttpExchange exchange, byte[] body) throws InterruptedException {
        String[] path = exchange.getRequestURI().getPath().substring(PREFIX.length()).split("/", 2);
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String kind = path[0];
        String name = path.length > 1 ? path[1] : "";
        return switch (exchange.getRequestMethod()) {
            case "GET" -> read(kind, name, query);
            case "POST" -> create(kind, Json.parse(body));
            case "PUT" -> replace(kind, name, Json.parse(body));
            default -> delete(kind, name);
        };
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            values.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return values;
    }

    private Reply read(String kind, String name, Map<String, String> query)
            throws InterruptedException {
        if (query.containsKey("Watch")) {
            return watch(
                    kind,
                    Long.parseLong(query.get("Watch")),
                    Long.parseLong(query.getOrDefault("WaitMs", "0")));
        }
        return name.isEmpty() ? list(kind) : get(kind, name);
    }

    private synchronized Reply get(String kind, String name) {
        ObjectNode object = objects(kind).get(name);
        return object == null ? new Reply(NOT_FOUND, Json.object()) : new Reply(OK, object);
    }

    private synchronized Reply list(String kind) {
        ObjectNode page = Json.object();
        ArrayNode items = page.putArray("Items");
        objects(kind).values().forEach(items::add);
        return new Reply(OK, page.put("HasMore", false).put("CurrentRev", revision));
    }

    private synchronized Reply watch(String kind, long after, long waitMs)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        ArrayNode events = Json.mapper().createArrayNode();
        long leftMs = waitMs;
        while (true) {
            history.stream()
                    .filter(change -> change.kind().equals(kind) && change.revision() > after)
                    .forEach(change -> events.add(change.event()));
            leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
            if (!events.isEmpty() || leftMs <= 0) {
                ObjectNode answer = Json.object().put("CurrentRev", revision);
                answer.set("events", events);
                return new Reply(OK, answer);
            }
            wait(leftMs);
        }
    }

    private synchronized Reply create(String kind, JsonNode object) {
        String name = object.path("Metadata").path("Name").asText();
        ObjectNode present = objects(kind).get(name);
        return present == null
                ? new Reply(OK, write(kind, name, object.path("Spec")))
                : new Reply(CONFLICT, present);
    }

    private synchronized Reply replace(String kind, String name, JsonNode object) {
        ObjectNode present = objects(kind).get(name);
        if (present == null) {
            return new Reply(NOT_FOUND, Json.object());
        }
        JsonNode expected = object.path("Metadata").path("Revision");
        if (expected.isNumber() && expected.asLong() != revisionOf(present)) {
            return new Reply(CONFLICT, present);
        }
        boolean same = present.path("Spec").equals(object.path("Spec"));
        return new Reply(OK, same ? present : write(kind, name, object.path("Spec")));
    }

    private synchronized Reply delete(String kind, String name) {
        ObjectNode removed = objects(kind).remove(name);
        if (removed == null) {
            return new Reply(NOT_FOUND, Json.object());
        }
        revision++;
        record(kind, removed, true);
        return new Reply(OK, removed);
    }

    private ObjectNode write(String kind, String name, JsonNode spec) {
        ObjectNode present = objects(kind).get(name);
        revision++;
        long created = present == null ? revision : present.path("Metadata").path("Created").asLong();
        ObjectNode object = Json.object();
        ObjectNode metadata = object.putObject("Metadata");
        metadata.put("Name", name).put("Revision", revision).put("Created", created);
        metadata.put("Deleting", false).putArray("Finalizers");
        object.set("Spec", spec.deepCopy());
        object.putNull("Status");
        objects(kind).put(name, object);
        record(kind, object, false);
        return object;
    }

    private void record(String kind, ObjectNode object, boolean deleted) {
        ObjectNode event = Json.object().put("Deleted", deleted);
        event.set("Object", object);
        history.add(new Change(kind, revision, event));
        notifyAll();
    }

    private static long revisionOf(ObjectNode object) {
        return object.path("Metadata").path("Revision").asLong();
    }

    private Map<String, ObjectNode> objects(String kind) {
        return objectsByKind.computeIfAbsent(kind, name -> new TreeMap<>());
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
