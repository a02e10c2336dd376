package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: objects by kind and name, with revisions, conditions and watches. It reads
 * of a body only the name, the revision and the spec, which it keeps as they are.
 */
public final class Store implements AutoCloseable {

    private static final String ROOT = "/api/objects/";
    private static final Pattern NAME = Pattern.compile("\"Name\":\"([^\"]*)\"");
    private static final Pattern REVISION = Pattern.compile("\"Revision\":(\\d+)");
    private static final String SPEC = "\"Spec\":";

    private record Stored(String name, long revision, long created, String spec) {

        String json() {
            return "{\"Metadata\":{\"Name\":\"%s\",\"Revision\":%d,\"Created\":%d,\"Finalizers\":[],\"Deleting\":false},\"Spec\":%s,\"Status\":null}"
                    .formatted(name, revision, created, spec);
        }
    }

    private record Change(String kind, long revision, boolean deleted, Stored object) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<String, Integer> cuts = new HashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();
    private long revision = 100;

    /** Ends a waiting watch, whose channel is then closed without an answer. */
    private static final class WatchCutException extends IOException {

        private static final long serialVersionUID = 1;
    }

    public Store(int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(Ports.HOST), port), 0);
        server.createContext(ROOT, this::handle);
        server.setExecutor(threads);
        server.start();
    }

    /** Writes an object as the operator or an engine does; its name and spec are JSON already. */
    public synchronized void put(String kind, String name, String spec) {
        TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Stored known = objects.get(name);
        if (known != null && known.spec().equals(spec)) {
            return;
        }
        revision++;
        long created = known == null ? revision : known.created();
        record(kind, false, new Stored(name, revision, created, spec));
    }

    /** Removes an object. */
    public synchronized void remove(String kind, String name) {
        Stored known = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
        if (known != null) {
            revision++;
            record(kind, true, new Stored(name, revision, known.created(), known.spec()));
        }
    }

    /** Cuts off the watches of a kind that are waiting now. */
    public synchronized void cutWatches(String kind) {
        cuts.merge(kind, 1, Integer::sum);
        notifyAll();
    }

    private void record(String kind, boolean deleted, Stored object) {
        if (deleted) {
            kinds.get(kind).remove(object.name());
        } else {
            kinds.get(kind).put(object.name(), object);
        }
        history.add(new Change(kind, revision, deleted, object));
        notifyAll();
    }

    /** Returns the spec of an object; empty if there is none. */
    public synchronized String spec(String kind, String name) {
        Stored known = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return known == null ? "" : known.spec();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            String[] path = exchange.getRequestURI().getPath().substring(ROOT.length()).split("/");
            String body =
                    new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            switch (exchange.getRequestMethod()) {
                case "GET" -> get(exchange, path);
                case "POST" -> create(exchange, path[0], body);
                case "PUT" -> replace(exchange, path[0], path[1], body);
                case "DELETE" -> delete(exchange, path[0], path[1]);
                default -> respond(exchange, 400, "{}");
            }
        } catch (WatchCutException e) {
            cutOff.incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private void get(HttpExchange exchange, String[] path)
            throws IOException, InterruptedException {
        Map<String, String> query = query(exchange);
        if (path.length > 1) {
            Stored known = find(path[0], path[1]);
            respond(exchange, known == null ? 404 : 200, known == null ? "{}" : known.json());
        } else if (query.containsKey("Watch")) {
            long waitMs = Long.parseLong(query.getOrDefault("WaitMs", "0"));
            respond(exchange, 200, watch(path[0], Long.parseLong(query.get("Watch")), waitMs));
        } else {
            respond(exchange, 200, list(path[0]));
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        for (String part : text == null ? new String[0] : text.split("&")) {
            int equals = part.indexOf('=');
            values.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return values;
    }

    private synchronized Stored find(String kind, String name) {
        return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    }

    private synchronized String list(String kind) {
        List<String> items = new ArrayList<>();
        kinds.getOrDefault(kind, new TreeMap<>()).values().forEach(one -> items.add(one.json()));
        return "{\"Items\":[%s],\"HasMore\":false,\"CurrentRev\":%d}"
                .formatted(String.join(",", items), revision);
    }

    private synchronized String watch(String kind, long after, long waitMs)
            throws InterruptedException, WatchCutException {
        int cutsBefore = cuts.getOrDefault(kind, 0);
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        List<String> events = events(kind, after);
        while (events.isEmpty() && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
            if (cuts.getOrDefault(kind, 0) != cutsBefore) {
                throw new WatchCutException();
            }
            events = events(kind, after);
        }
        return "{\"events\":[%s],\"CurrentRev\":%d}".formatted(String.join(",", events), revision);
    }

    private List<String> events(String kind, long after) {
        List<String> events = new ArrayList<>();
        for (Change change : history) {
            if (change.kind().equals(kind) && change.revision() > after) {
                events.add(
                        "{\"Deleted\":%s,\"Object\":%s}"
                                .formatted(change.deleted(), change.object().json()));
            }
        }
        return events;
    }

    private void create(HttpExchange exchange, String kind, String body) throws IOException {
        String name = group(NAME, body);
        int status;
        synchronized (this) {
            status = find(kind, name) == null ? 200 : 409;
            if (status == 200) {
                put(kind, name, specOf(body));
            }
        }
        respond(exchange, status, find(kind, name).json());
    }

    private void replace(HttpExchange exchange, String kind, String name, String body)
            throws IOException {
        String expected = group(REVISION, body);
        int status;
        synchronized (this) {
            Stored known = find(kind, name);
            boolean current =
                    known != null
                            && (expected.isEmpty()
                                    || Long.parseLong(expected) == known.revision());
            status = known == null ? 404 : current ? 200 : 409;
            if (status == 200) {
                put(kind, name, specOf(body));
            }
        }
        respond(exchange, status, status == 404 ? "{}" : find(kind, name).json());
    }

    private void delete(HttpExchange exchange, String kind, String name) throws IOException {
        boolean known = find(kind, name) != null;
        remove(kind, name);
        respond(exchange, known ? 200 : 404, "{}");
    }

    private static String group(Pattern pattern, String body) {
        Matcher matcher = pattern.matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    /** Returns the spec, which the callers write as the last field of the object. */
    private static String specOf(String body) {
        int start = body.indexOf(SPEC) + SPEC.length();
        return body.substring(start, body.lastIndexOf('}'));
    }

    /** Returns how many calls were answered. */
    public int answered() {
        return answered.get();
    }

    /** Returns how many waiting watches were cut off. */
    public int cutOff() {
        return cutOff.get();
    }

    private void respond(HttpExchange exchange, int status, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        answered.incrementAndGet();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
