package io.pollenpath.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.Traces;
import io.pollenpath.util.Json;
import java.util.Map;

/**
 * Stands in for a model engine. Serves the completions API with continuous batching: each step
 * generates one token for every running request. A prompt that contains {@value #POISON} terminates
 * the process.
 */
public final class EngineStandin implements AutoCloseable {

    /** A prompt with this text terminates the engine process. */
    public static final String POISON = "POISON-PILL";

    private static final String JSON = "application/json";
    private static final int POISON_EXIT_CODE = 70;
    private static final int LOWEST_PRIORITY = 2;

    private final HttpServer server;
    private final Traces traces;
    private final BatchScheduler scheduler;

    /**
     * Starts listening on the loopback address.
     *
     * @param loops the event loops, not null
     * @param settings the settings: name, port, step duration and batch size, not null
     */
    public EngineStandin(NettyLoops loops, StandinSettings settings) {
        traces = new Traces(settings.name, "");
        scheduler = new BatchScheduler(settings.stepUs, settings.maxBatch);
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
        if (call.path().equals("/runs")) {
            exchange.respond(200, JSON, Map.of(), Json.bytes(scheduler.runCounts()));
            return;
        }
        if (call.path().equals("/load")) {
            exchange.respond(200, JSON, Map.of(), Json.bytes(scheduler.load()));
            return;
        }
        JsonNode body = Json.parse(call.body());
        String prompt = body.path("prompt").asText("");
        if (prompt.contains(POISON)) {
            Runtime.getRuntime().halt(POISON_EXIT_CODE);
        }
        String priority = call.header("x-priority");
        boolean streamed = body.path("stream").asBoolean(false);
        EngineRun run =
                new EngineRun(
                        call.header("x-request-id"),
                        prompt,
                        body.path("max_tokens").asInt(16),
                        priority.isEmpty() ? LOWEST_PRIORITY : Integer.parseInt(priority),
                        streamed,
                        exchange,
                        traces.start("engine.run", call.header(Traces.TRACEPARENT)));
        if (streamed) {
            exchange.startStream(200, "text/event-stream", Map.of());
        }
        exchange.onClose(run::cancel);
        scheduler.add(run);
    }

    /**
     * Returns the text of one token of an answer. Equal prompts and indexes give equal texts.
     *
     * @param prompt the prompt, not null
     * @param index the index of the token, from 0
     * @return the text
     */
    public static String token(String prompt, int index) {
        return "t" + Integer.toHexString(prompt.hashCode() * 31 + index) + " ";
    }

    /** Returns the JSON body of one event of a stream, or of a whole answer. */
    static ObjectNode completion(String id, String text, boolean last) {
        ObjectNode node = Json.object();
        node.put("id", id);
        node.put("object", "text_completion");
        ObjectNode choice = node.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", text);
        choice.put("finish_reason", last ? "length" : null);
        return node;
    }

    @Override
    public void close() {
        scheduler.close();
        server.close();
        traces.close();
    }
}
