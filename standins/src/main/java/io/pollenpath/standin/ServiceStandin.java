package io.pollenpath.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.api.trace.Span;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.Json;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for a service that files a record on each call, which isn't idempotent. {@code GET
 * /runs} returns how often each request was executed, by request id.
 */
public final class ServiceStandin implements AutoCloseable {

    private final HttpServer server;
    private final Traces traces;
    private final Map<String, Integer> runCounts = new TreeMap<>();

    /**
     * Starts listening on the loopback address.
     *
     * @param loops the event loops, not null
     * @param settings the settings: name and port, not null
     */
    public ServiceStandin(NettyLoops loops, StandinSettings settings) {
        traces = new Traces(settings.name, "");
        server =
                new HttpServer(loops, "127.0.0.1", settings.port, HttpLimits.DEFAULT, this::handle);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        ObjectNode answer = Json.object();
        if (call.path().equals("/runs")) {
            synchronized (runCounts) {
                runCounts.forEach(answer::put);
            }
        } else {
            Span span = traces.start("service.run", call.header(Traces.TRACEPARENT));
            answer.put("filed", call.path());
            answer.put("run", countRun(call.header("x-request-id")));
            span.end();
        }
        exchange.respond(200, "application/json", Map.of(), Json.bytes(answer));
    }

    private int countRun(String requestId) {
        synchronized (runCounts) {
            return runCounts.merge(requestId, 1, Integer::sum);
        }
    }

    @Override
    public void close() {
        server.close();
        traces.close();
    }
}
