package io.pollenpath.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.transport.serving.ServerIncarnations;
import io.pollenpath.util.Json;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Asks engines when they started, which distinguishes the processes that have one id. */
final class EngineIncarnations implements ServerIncarnations {

    private static final long CALL_TIMEOUT_MS = 300;
    private static final int STATUS_OK = 200;
    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient http;

    EngineIncarnations(HttpClient http) {
        this.http = http;
    }

    @Override
    public CompletableFuture<Long> running(ServerInstance server) {
        // The engine may just have closed the idle connection of the first call.
        return ask(server).exceptionallyCompose(failure -> ask(server));
    }

    private CompletableFuture<Long> ask(ServerInstance server) {
        HttpAddress address = new HttpAddress(server.host(), server.port());
        return http.send(new HttpClient.Request(address, "GET", "/api/report", Map.of(), NO_BODY))
                .orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .thenApply(EngineIncarnations::born);
    }

    /**
     * Returns the start time in a report, in Unix milliseconds.
     *
     * @throws IllegalArgumentException if the report has none
     */
    private static long born(HttpReply reply) {
        JsonNode born = Json.parse(reply.body()).path("born");
        if (reply.status() != STATUS_OK || !born.isIntegralNumber()) {
            throw new IllegalArgumentException("the engine does not tell when it started");
        }
        return born.longValue();
    }
}
