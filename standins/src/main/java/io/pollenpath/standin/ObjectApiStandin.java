package io.pollenpath.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ObjectApiException;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Serves an Object API that follows the Kubernetes API conventions, with faults for tests.
 *
 * <p>{@code POST /faults?mode=MODE} selects the fault: {@code none}; {@code slow}, which delays
 * each call by {@code delayMs=N} milliseconds; {@code down}, which closes the connection of each
 * call; or {@code lost}, which applies writes but closes the connection without an answer. {@code
 * POST /faults/gap} drops the history of changes and closes every watch. {@code GET /calls} returns
 * the number of calls by operation, {@code GET /watches} the number of open watches.
 */
public final class ObjectApiStandin implements AutoCloseable {

    private static final String ROOT = "/apis/" + ApiObject.API_VERSION + "/";
    private static final String JSON = "application/json";
    private static final HttpLimits LIMITS =
            new HttpLimits(16_384, 1_048_576, 8_192, 600_000, 10_000, 16, false);

    private final ObjectStore store = new ObjectStore();
    private final Map<String, AtomicLong> callCounts = new ConcurrentHashMap<>();
    private final Set<HttpExchange> watches = ConcurrentHashMap.newKeySet();
    private final HttpServer server;
    private volatile String faultMode = "none";
    private volatile int faultDelayMs;

    /**
     * Starts listening on the loopback address.
     *
     * @param loops the event loops, not null
     * @param port the port, 0 for any free port
     */
    public ObjectApiStandin(NettyLoops loops, int port) {
        server = new HttpServer(loops, "127.0.0.1", port, LIMITS, this::handle);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Sets the fault that applies to calls from now on.
     *
     * @param newMode {@code none}, {@code slow}, {@code down} or {@code lost}, not null; {@code
     *     down} also closes the open watches
     * @param newDelayMs the delay of each call in mode {@code slow}, in milliseconds
     */
    public void setFault(String newMode, int newDelayMs) {
        faultMode = newMode;
        faultDelayMs = newDelayMs;
        if (newMode.equals("down")) {
            watches.forEach(HttpExchange::abort);
        }
    }

    /**
     * Drops the history of changes and closes every watch, so that each watcher must list again.
     */
    public void dropHistoryAndWatches() {
        store.dropHistory();
        watches.forEach(HttpExchange::abort);
    }

    /**
     * Returns the number of calls of one operation so far.
     *
     * @param operation {@code list}, {@code get}, {@code create}, {@code update}, {@code delete} or
     *     {@code watch}
     * @return the number of calls, 0 for an unknown operation
     */
    public long callCount(String operation) {
        return callCounts.computeIfAbsent(operation, key -> new AtomicLong()).get();
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        if (call.path().startsWith("/faults")) {
            handleFault(call, exchange);
        } else if (call.path().equals("/calls")) {
            ObjectNode counts = Json.object();
            callCounts.forEach((operation, count) -> counts.put(operation, count.get()));
            exchange.respond(200, JSON, Map.of(), Json.bytes(counts));
        } else if (call.path().equals("/watches")) {
            ObjectNode open = Json.object().put("open", watches.size());
            exchange.respond(200, JSON, Map.of(), Json.bytes(open));
        } else if (faultMode.equals("down")) {
            exchange.abort();
        } else if (faultMode.equals("slow")) {
            exchange.loop()
                    .schedule(() -> serve(call, exchange), faultDelayMs, TimeUnit.MILLISECONDS);
        } else {
            serve(call, exchange);
        }
    }

    private void handleFault(HttpCall call, HttpExchange exchange) {
        if (call.path().equals("/faults/gap")) {
            dropHistoryAndWatches();
        } else {
            String delay = call.parameter("delayMs");
            setFault(call.parameter("mode"), delay.isEmpty() ? 0 : Integer.parseInt(delay));
        }
        exchange.respond(200, JSON, Map.of(), Json.bytes(Json.object()));
    }

    private void serve(HttpCall call, HttpExchange exchange) {
        try {
            if (!call.path().startsWith(ROOT)) {
                throw new ObjectApiException(
                        ObjectApiException.Kind.NOT_FOUND,
                        "unknown path; it must start with " + ROOT);
            }
            String[] kindAndName = call.path().substring(ROOT.length()).split("/", 2);
            if (!call.parameter("watch").isEmpty()) {
                watch(call, exchange, kindAndName[0]);
                return;
            }
            ObjectNode answer =
                    execute(call, kindAndName[0], kindAndName.length > 1 ? kindAndName[1] : "");
            if (faultMode.equals("lost") && !call.method().equals("GET")) {
                exchange.abort();
                return;
            }
            exchange.respond(200, JSON, Map.of(), Json.bytes(answer));
        } catch (ObjectApiException e) {
            exchange.respond(
                    statusOf(e), JSON, Map.of(), e.getMessage().getBytes(StandardCharsets.UTF_8));
        }
    }

    private ObjectNode execute(HttpCall call, String kind, String name) {
        switch (call.method()) {
            case "POST" -> {
                countCall("create");
                return store.create(kind, ApiObject.fromJson(Json.parse(call.body()))).toJson();
            }
            case "PUT" -> {
                countCall("update");
                return store.update(kind, ApiObject.fromJson(Json.parse(call.body()))).toJson();
            }
            case "DELETE" -> {
                countCall("delete");
                long version = Long.parseLong(call.parameter("resourceVersion"));
                return store.delete(kind, name, version).toJson();
            }
            default -> {
                countCall(name.isEmpty() ? "list" : "get");
                return name.isEmpty() ? listObjects(kind) : store.get(kind, name).toJson();
            }
        }
    }

    private ObjectNode listObjects(String kind) {
        ObjectNode node = Json.object();
        synchronized (store) {
            node.putObject("metadata").put("resourceVersion", Long.toString(store.revision()));
            ArrayNode items = node.putArray("items");
            store.list(kind).forEach(object -> items.add(object.toJson()));
        }
        return node;
    }

    private void watch(HttpCall call, HttpExchange exchange, String kind) {
        countCall("watch");
        long afterRevision = Long.parseLong(call.parameter("resourceVersion"));
        Consumer<ObjectStore.Change> watcher =
                change -> {
                    if (kind.equals(pluralOf(change.object()))) {
                        exchange.write(eventOf(change));
                    }
                };
        synchronized (store) {
            exchange.startStream(200, JSON, Map.of());
            try {
                store.watch(afterRevision, watcher);
            } catch (ObjectApiException e) {
                exchange.write(
                        "{\"type\":\"ERROR\",\"object\":{\"code\":410}}\n"
                                .getBytes(StandardCharsets.UTF_8));
                exchange.endStream();
                return;
            }
        }
        watches.add(exchange);
        exchange.onClose(
                () -> {
                    watches.remove(exchange);
                    store.unwatch(watcher);
                });
    }

    private static String pluralOf(ApiObject object) {
        return object.kind().toLowerCase(Locale.ROOT) + "s";
    }

    private static byte[] eventOf(ObjectStore.Change change) {
        ObjectNode event = Json.object();
        event.put("type", change.type());
        event.set("object", change.object().toJson());
        return (Json.text(event) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void countCall(String operation) {
        callCounts.computeIfAbsent(operation, key -> new AtomicLong()).incrementAndGet();
    }

    private static int statusOf(ObjectApiException e) {
        return switch (e.kind()) {
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case GONE -> 410;
            case INVALID -> 422;
            default -> 503;
        };
    }

    @Override
    public void close() {
        server.close();
    }
}
