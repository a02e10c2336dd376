package io.pollenpath.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Serves the platform's store over HTTP, with faults that tests can inject. */
public final class PlatformStoreStandin implements AutoCloseable {

    private static final String PREFIX = "/api/objects/";
    private static final long WATCH_POLL_MS = 10;
    private static final long SLOW_CALL_MS = 700;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_GONE = 410;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int MAX_BODY_BYTES = 1_048_576;

    private final NettyLoops loops = new NettyLoops(1);
    private final PlatformStore store;
    private final HttpServer server;
    private final AtomicLong callCount = new AtomicLong();
    private volatile StoreFault fault = StoreFault.NONE;
    private volatile String forcedEra = "";
    private final AtomicInteger watchCuts = new AtomicInteger();

    /**
     * Starts listening on the loopback address.
     *
     * @param pageSize the maximum number of objects in one page of a list
     */
    public PlatformStoreStandin(int pageSize) {
        store = new PlatformStore(pageSize);
        HttpLimits defaults = HttpLimits.DEFAULT;
        HttpLimits limits =
                new HttpLimits(
                        defaults.maxHeaderBytes(),
                        MAX_BODY_BYTES,
                        defaults.maxConnections(),
                        defaults.idleTimeoutMs(),
                        defaults.requestTimeoutMs(),
                        defaults.maxPipelined(),
                        false);
        server = new HttpServer(loops, "127.0.0.1", 0, limits, this::handle);
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
     * Returns the number of calls so far.
     *
     * @return the number, including calls that a fault refused
     */
    public long callCount() {
        return callCount.get();
    }

    /**
     * Sets the fault that applies to calls from now on.
     *
     * @param newFault the fault, {@link StoreFault#NONE} for normal operation, not null
     */
    public void setFault(StoreFault newFault) {
        fault = newFault;
    }

    /** Cuts off all watches that are waiting; other calls are not touched. */
    public void cutWatches() {
        watchCuts.incrementAndGet();
    }

    /** Drops the history of changes, so that watches from an earlier revision fail with 410. */
    public void dropHistory() {
        store.dropHistory();
    }

    /** Keeps a copy of the present state, to which {@link #restoreCopy} goes back. */
    public void keepCopy() {
        store.keepCopy();
    }

    /**
     * Goes back to the kept copy, as a store does that lost what it had acknowledged since: its era
     * rises, and revisions are given out again.
     */
    public void restoreCopy() {
        store.restoreCopy();
    }

    /**
     * Names an era in later answers that is not the store's.
     *
     * @param text the value of the header; empty for the store's own era, not null
     */
    public void forceEra(String text) {
        forcedEra = text;
    }

    /**
     * Creates or replaces an object, whatever its revision.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     * @param spec the content of the object, not null
     */
    public void put(String kind, String name, JsonNode spec) {
        store.put(kind, name, spec);
    }

    /**
     * Deletes an object; does nothing if it doesn't exist.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     */
    public void delete(String kind, String name) {
        store.delete(kind, name);
    }

    /**
     * Returns an object.
     *
     * @param kind the kind, not null
     * @param name the name, not null
     * @return the object; empty if it doesn't exist
     */
    public Optional<ObjectNode> read(String kind, String name) {
        return store.read(kind, name);
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        callCount.incrementAndGet();
        switch (fault) {
            case SILENT -> {
                // No answer: the caller waits until its own timeout.
            }
            case SLOW ->
                    exchange.loop()
                            .schedule(
                                    () -> serve(call, exchange),
                                    SLOW_CALL_MS,
                                    TimeUnit.MILLISECONDS);
            case UNAVAILABLE -> respond(exchange, STATUS_UNAVAILABLE, Json.object());
            case TOO_MANY_CALLS -> respond(exchange, STATUS_TOO_MANY_REQUESTS, Json.object());
            default -> serve(call, exchange);
        }
    }

    private void serve(HttpCall call, HttpExchange exchange) {
        String[] kindAndName = call.path().substring(PREFIX.length()).split("/", 2);
        String kind = kindAndName[0];
        String name = kindAndName.length > 1 ? kindAndName[1] : "";
        boolean isRead = call.method().equals("GET");
        if (isRead && !call.parameter("Watch").isEmpty()) {
            long waitMs = Long.parseLong(call.parameter("WaitMs"));
            long revision = Long.parseLong(call.parameter("Watch"));
            watch(exchange, kind, revision, waitMs, watchCuts.get());
        } else if (isRead && name.isEmpty()) {
            respond(exchange, STATUS_OK, store.list(kind, call.parameter("SinceRev")));
        } else if (isRead) {
            respondWith(exchange, store.read(kind, name), STATUS_NOT_FOUND);
        } else {
            write(call, exchange, kind, name);
        }
    }

    private void watch(
            HttpExchange exchange, String kind, long afterRevision, long remainingMs, int cuts) {
        if (cuts != watchCuts.get()) {
            exchange.abort();
            return;
        }
        Optional<ObjectNode> changes = store.changes(kind, afterRevision);
        if (changes.isEmpty()) {
            respond(exchange, STATUS_GONE, Json.object());
        } else if (!changes.get().path("events").isEmpty() || remainingMs <= 0) {
            respond(exchange, STATUS_OK, changes.get());
        } else {
            exchange.loop()
                    .schedule(
                            () ->
                                    watch(
                                            exchange,
                                            kind,
                                            afterRevision,
                                            remainingMs - WATCH_POLL_MS,
                                            cuts),
                            WATCH_POLL_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void write(HttpCall call, HttpExchange exchange, String kind, String name) {
        Optional<ObjectNode> written;
        if (call.method().equals("DELETE")) {
            written = store.delete(kind, name) ? Optional.of(Json.object()) : Optional.empty();
        } else {
            JsonNode object = Json.parse(call.body());
            JsonNode metadata = object.path("Metadata");
            written =
                    call.method().equals("POST")
                            ? store.create(
                                    kind, metadata.path("Name").asText(), object.path("Spec"))
                            : store.replace(
                                    kind,
                                    name,
                                    object.path("Spec"),
                                    metadata.path("Revision").asLong(0));
        }
        if (fault != StoreFault.ANSWERS_LOST) {
            respondWith(exchange, written, STATUS_CONFLICT);
        }
    }

    private void respondWith(
            HttpExchange exchange, Optional<ObjectNode> object, int statusIfEmpty) {
        int status = object.isPresent() ? STATUS_OK : statusIfEmpty;
        respond(exchange, status, object.orElseGet(Json::object));
    }

    private void respond(HttpExchange exchange, int status, JsonNode body) {
        Map<String, String> headers = Map.of("Store-Era", eraText());
        exchange.respond(status, "application/json", headers, Json.bytes(body));
    }

    private String eraText() {
        return forcedEra.isEmpty() ? Long.toString(store.era()) : forcedEra;
    }

    @Override
    public void close() {
        server.close();
        loops.close();
    }
}
