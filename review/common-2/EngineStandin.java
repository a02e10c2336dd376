package io.pollenpath.review;

import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stands in for a plain service of the platform: it works for a while and answers. */
public final class EngineStandin implements AutoCloseable {

    private static final int BACKLOG = 256;

    private final String id;
    private final long workMs;
    private final HttpServer server;
    private final ExecutorService executor =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "engine-standin");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    /**
     * A request that reached the engine and that it began to run.
     *
     * @param engineId the engine
     * @param requestId the request
     * @param nanos the time of the arrival, in nanoseconds
     */
    public record Arrival(String engineId, String requestId, long nanos) {}

    /** Starts listening on a free port of the loopback address. */
    public EngineStandin(String id, long workMs) throws IOException {
        this.id = id;
        this.workMs = workMs;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    /** Returns the port that the engine listens on. */
    public int port() {
        return server.getAddress().getPort();
    }

    /** Returns the identity of the engine. */
    public String id() {
        return id;
    }

    /** Returns the requests that the engine has begun to run, oldest first. */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    private void handle(HttpExchange exchange) throws IOException {
        long nowNanos = System.nanoTime();
        try (exchange) {
            Headers sent = exchange.getRequestHeaders();
            exchange.getRequestBody().readAllBytes();
            String requestId = sent.getFirst("Request-Id");
            exchange.getResponseHeaders().set("Request-Id", requestId);
            if (!id.equals(sent.getFirst("Expect-Instance"))) {
                exchange.getResponseHeaders().set("Upstream-Instance", id);
                exchange.sendResponseHeaders(421, -1);
                return;
            }
            arrivals.add(new Arrival(id, requestId, nowNanos));
            Thread.sleep(workMs);
            byte[] body = (id + " ran " + requestId).getBytes(StandardCharsets.US_ASCII);
            exchange.getResponseHeaders().set("Upstream-Signature", "proof-of-" + id);
            exchange.getResponseHeaders().set("Keep-Alive", "timeout=30");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the engine as its process's end does: nothing listens, and all connections close. */
    @Override
    public void close() {
        executor.shutdownNow();
        server.stop(0);
    }
}
