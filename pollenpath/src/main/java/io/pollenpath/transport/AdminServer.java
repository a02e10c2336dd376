package io.pollenpath.transport;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Serves the health, readiness and metrics endpoints on the admin port. */
public final class AdminServer implements AutoCloseable {

    private static final String TEXT = "text/plain; version=0.0.4";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_UNAVAILABLE = 503;

    private final HttpServer server;
    private final BooleanSupplier ready;
    private final MetricRegistry metrics;

    /**
     * Starts the server.
     *
     * @param loops the event loops, not null
     * @param host the IP address to listen on, not null
     * @param port the port to listen on; 0 for any free port
     * @param ready returns whether the process is ready to serve requests, not null
     * @param metrics the metrics to publish, not null
     */
    public AdminServer(
            NettyLoops loops,
            String host,
            int port,
            BooleanSupplier ready,
            MetricRegistry metrics) {
        this.ready = ready;
        this.metrics = metrics;
        server = new HttpServer(loops, host, port, HttpLimits.DEFAULT, this::handle);
    }

    private void handle(HttpCall call, HttpExchange exchange) {
        switch (call.path()) {
            case "/healthz" -> answer(exchange, STATUS_OK, "ok\n");
            case "/readyz" -> {
                boolean isReady = ready.getAsBoolean();
                answer(
                        exchange,
                        isReady ? STATUS_OK : STATUS_UNAVAILABLE,
                        isReady ? "ready\n" : "not ready\n");
            }
            case "/metrics" -> answer(exchange, STATUS_OK, PrometheusText.format(metrics));
            default -> answer(exchange, STATUS_NOT_FOUND, "use /healthz, /readyz or /metrics\n");
        }
    }

    private static void answer(HttpExchange exchange, int status, String text) {
        exchange.respond(status, TEXT, Map.of(), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the port, also if 0 was requested
     */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }
}
