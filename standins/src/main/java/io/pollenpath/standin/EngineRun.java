package io.pollenpath.standin;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.util.Json;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One execution of a request by an engine, which generates the answer token by token. */
final class EngineRun {

    private final String id;
    private final String prompt;
    private final int maxTokens;
    private final int priority;
    private final boolean streamed;
    private final HttpExchange exchange;
    private final Span span;
    private final StringBuilder text = new StringBuilder();
    private int generatedTokens;
    private volatile boolean cancelled;

    EngineRun(
            String id,
            String prompt,
            int maxTokens,
            int priority,
            boolean streamed,
            HttpExchange exchange,
            Span span) {
        this.id = id;
        this.prompt = prompt;
        this.maxTokens = maxTokens;
        this.priority = priority;
        this.streamed = streamed;
        this.exchange = exchange;
        this.span = span;
    }

    String id() {
        return id;
    }

    int priority() {
        return priority;
    }

    void cancel() {
        cancelled = true;
    }

    /** Generates one token; returns whether the run continues. */
    boolean generateToken() {
        if (cancelled) {
            span.end();
            return false;
        }
        String token = EngineStandin.token(prompt, generatedTokens);
        generatedTokens++;
        boolean last = generatedTokens >= maxTokens;
        if (streamed) {
            writeEvent(Json.text(EngineStandin.completion(id, token, last)));
        } else {
            text.append(token);
        }
        if (last) {
            finish();
        }
        return !last;
    }

    private void finish() {
        span.setAttribute("tokens", generatedTokens);
        span.end();
        if (streamed) {
            writeEvent("[DONE]");
            exchange.endStream();
        } else {
            byte[] body = Json.bytes(EngineStandin.completion(id, text.toString(), true));
            exchange.respond(200, "application/json", Map.of(), body);
        }
    }

    private void writeEvent(String data) {
        exchange.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
