package io.pollenpath.transport.group;

import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Sends calls to agents over pooled HTTP connections. */
public final class HttpAgentTransport implements AgentTransport {

    private static final Map<String, String> HEADERS =
            Map.of("Content-Type", AgentServer.MEDIA_TYPE);

    private static final int STATUS_OK = 200;

    private final HttpClient http;

    /**
     * Creates a transport.
     *
     * @param http sends the calls, not null
     */
    public HttpAgentTransport(HttpClient http) {
        this.http = Objects.requireNonNull(http, "http");
    }

    @Override
    public CompletableFuture<byte[]> call(
            HttpAddress agent, String path, byte[] body, long timeoutMs) {
        return http.send(new HttpClient.Request(agent, "POST", path, HEADERS, body))
                .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .thenApply(HttpAgentTransport::reportOf);
    }

    /** Returns the body of a success; that of a refusal, empty or not, is no report. */
    private static byte[] reportOf(HttpReply reply) {
        if (reply.status() != STATUS_OK) {
            throw new IllegalStateException("the agent answered with status " + reply.status());
        }
        return reply.body();
    }
}
