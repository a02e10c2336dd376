package io.pollenpath.transport.group;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which answers of other agents are taken for a report. */
class HttpAgentTransportTest {

    private static final long TIMEOUT_MS = 2_000;
    private static final byte[] BODY = {1, 2, 3};

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final HttpAgentTransport transport = new HttpAgentTransport(http);
    private volatile int status = 200;
    private final HttpServer agent =
            new HttpServer(
                    loops,
                    "127.0.0.1",
                    0,
                    HttpLimits.DEFAULT,
                    (call, exchange) ->
                            exchange.respond(status, AgentServer.MEDIA_TYPE, Map.of(), BODY));

    @AfterEach
    void stop() {
        agent.close();
        http.close();
        loops.close();
    }

    private CompletableFuture<byte[]> call() {
        HttpAddress address = new HttpAddress("127.0.0.1", agent.port());
        return transport.call(address, AgentServer.COMMAND_PATH, new byte[0], TIMEOUT_MS);
    }

    @Test
    void theBodyOfASuccessIsTheReport() {
        assertThat(call().join()).isEqualTo(BODY);
    }

    /** Guards against a refusal whose body is read as a report, an empty one as a valid one. */
    @ParameterizedTest
    @ValueSource(ints = {204, 400, 404, 500, 503})
    void anAnswerOfAnotherStatusIsNoReport(int other) {
        status = other;
        CompletionException failure = assertThrows(CompletionException.class, () -> call().join());
        assertThat(failure).hasMessageThat().contains("status " + other);
    }
}
