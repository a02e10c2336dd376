package io.pollenpath.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stands in for the platform's store: objects by kind and name, conditional writes and watches. It
 * can cut off the watches that are waiting, as the platform's page allows.
 */
public final class StoreStandin implements AutoCloseable {

    private static final String PREFIX = "/api/objects/";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int BACKLOG = 256;

    private final HttpServer server;
    private final Map<String, TreeMap<String, ObjectNode>> objectsByKind = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Integer> cutsByKind = new HashMap<>();
    private final Map<String, Integer> waitingByKind = new HashMap<>();
    private long revision = 100;
    private long calls;
    private long longestCallNanos;

    private record Change(String kind, long revision, ObjectNode event) {}

    /** Starts listening on a free port of the loopback address. */
    public StoreStandin() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(Executors.newCachedThreadPool(StoreStandin::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    static {
        // Without it, the server delays the body of an answer behind its head.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "store-standin");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the port that the store listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** Creates or replaces an object, whatever its revision. */
    public synchronized ObjectNode put(String kind, String name, JsonNode spec) {
        revision++;
        ObjectNode known = objects(kind).get(name);
        long created = known == null ? revision : known.path("Metadata").path("Created").asLong();
        ObjectNode object = MAPPER.createObjectNode();
        ObjectNode metadata = object.putObject("Metadata");
        metadata.put("Name", name).put("Revision", revision).put("Created", created);
        metadata.putArray("Finalizers");
        metadata.put("Deleting", false);
        object.set("Spec", spec);
        object.putNull("Status");
        objects(kind).put(name, object);
        record(kind, object, false);
        return object;
    }

    /** Removes an object; returns whether it existed. */
    public synchronized boolean delete(String kind, String name) {
        ObjectNode removed = objects(kind).remove(name);
        if (removed == null) {
            return false;
        }
        revision++;
        ObjectNode last = removed.deepCopy();
        ((ObjectNode) last.get("Metadata")).put("Revision", revision);
        record(kind, last, true);
        return true;
    }

    /** Returns the names of the objects of a kind. */
    public synchronized List<String> names(String kind) {
        return List.copyOf(objects(kind).keySet());
    }

    /** Waits for a watch of a kind and cuts off all that are waiting; returns their number. */
    public synchronized int cutWaitingWatches(String kind) throws InterruptedException {
        while (waitingByKind.getOrDefault(kind, 0) == 0) {
            wait();
        }
        cutsByKind.merge(kind, 1, Integer::sum);
        notifyAll();
        return waitingByKind.get(kind);
    }

    private TreeMap<String, ObjectNode> objects(String kind) {
        return objectsByKind.computeIfAbsent(kind, name -> new TreeMap<>());
    }

    private void record(String kind, ObjectNode object, boolean deleted) {
        ObjectNode event = MAPPER.createObjectNode().put("Deleted", deleted);
        event.set("Object", object.deepCopy());
        history.add(new Change(kind, revision, event));
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            String[] kindAndName = path.substring(PREFIX.length()).split("/", 2);
            String name = kindAndName.length > 1 ? kindAndName[1] : "";
            long startNanos = System.nanoTime();
            serve(exchange, kindAndName[0], name, body);
            boolean waits = String.valueOf(exchange.getRequestURI().getQuery()).contains("Watch");
            count(waits ? 0 : System.nanoTime() - startNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(HttpExchange exchange, String kind, String name, byte[] body)
            throws IOException, InterruptedException {
        Map<String, String> query = query(exchange.getRequestURI().getQuery());
        switch (exchange.getRequestMethod()) {
            case "GET" -> {
                if (query.containsKey("Watch")) {
                    watch(exchange, kind, query);
                } else if (name.isEmpty()) {
                    respond(exchange, 200, list(kind));
                } else {
                    read(exchange, kind, name);
                }
            }
            case "DELETE" -> respond(exchange, delete(kind, name) ? 200 : 404, empty());
            default -> write(exchange, kind, name, MAPPER.readTree(body));
        }
    }

    private synchronized void count(long callNanos) {
        calls++;
        longestCallNanos = Math.max(longestCallNanos, callNanos);
    }

    /** Tells how the store has answered so far. */
    public synchronized String state() {
        return calls + " calls answered, none refused; the longest but for waiting watches took "
                + longestCallNanos / 1_000_000 + " ms";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return query;
    }

    private synchronized ObjectNode list(String kind) {
        ObjectNode page = MAPPER.createObjectNode();
        ArrayNode items = page.putArray("Items");
        objects(kind).values().forEach(object -> items.add(object.deepCopy()));
        return page.put("HasMore", false).put("CurrentRev", revision);
    }

    private void read(HttpExchange exchange, String kind, String name) throws IOException {
        ObjectNode object;
        synchronized (this) {
            object = objects(kind).get(name);
        }
        respond(exchange, object == null ? 404 : 200, object == null ? empty() : object);
    }

    private void watch(HttpExchange exchange, String kind, Map<String, String> query)
            throws IOException, InterruptedException {
        long afterRevision = Long.parseLong(query.get("Watch"));
        long waitMs = Long.parseLong(query.getOrDefault("WaitMs", "0"));
        ObjectNode changes = awaitChanges(kind, afterRevision, waitMs);
        if (changes != null) {
            respond(exchange, 200, changes);
        }
        // Without an answer, the end of the exchange closes the connection: the watch is cut off.
    }

    private synchronized ObjectNode awaitChanges(String kind, long afterRevision, long waitMs)
            throws InterruptedException {
        int cutsBefore = cutsByKind.getOrDefault(kind, 0);
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        waitingByKind.merge(kind, 1, Integer::sum);
        notifyAll();
        try {
            ObjectNode changes = changes(kind, afterRevision);
            long leftMs = waitMs;
            while (changes.path("events").isEmpty() && leftMs > 0) {
                wait(leftMs);
                if (cutsByKind.getOrDefault(kind, 0) > cutsBefore) {
                    return null;
                }
                changes = changes(kind, afterRevision);
                leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            }
            return changes;
        } finally {
            waitingByKind.merge(kind, -1, Integer::sum);
        }
    }

    private ObjectNode changes(String kind, long afterRevision) {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode events = answer.putArray("events");
        for (Change change : history) {
            if (change.kind().equals(kind) && change.revision() > afterRevision) {
                events.add(change.event().deepCopy());
            }
        }
        return answer.put("CurrentRev", revision);
    }

    private void write(HttpExchange exchange, String kind, String name, JsonNode sent)
            throws IOException {
        JsonNode metadata = sent.path("Metadata");
        boolean creates = exchange.getRequestMethod().equals("POST");
        String target = creates ? metadata.path("Name").asText() : name;
        ObjectNode known;
        ObjectNode written = null;
        synchronized (this) {
            known = objects(kind).get(target);
            if (mayWrite(creates, known, metadata.path("Revision").asLong(0))) {
                boolean same = known != null && known.path("Spec").equals(sent.path("Spec"));
                written = same ? known : put(kind, target, sent.path("Spec"));
            }
        }
        if (written != null) {
            respond(exchange, 200, written);
        } else {
            respond(exchange, known == null ? 404 : 409, known == null ? empty() : known);
        }
    }

    private static boolean mayWrite(boolean creates, ObjectNode known, long expectedRevision) {
        if (creates || known == null) {
            return creates && known == null;
        }
        long knownRevision = known.path("Metadata").path("Revision").asLong();
        return expectedRevision == 0 || expectedRevision == knownRevision;
    }

    private static ObjectNode empty() {
        return MAPPER.createObjectNode();
    }

    private static void respond(HttpExchange exchange, int status, JsonNode body)
            throws IOException {
        byte[] bytes = MAPPER.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
