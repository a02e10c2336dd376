package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WarmUpTest {

    private static final long WAIT_MS = 30_000;
    private static final long POLL_MS = 10;

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient client = new HttpClient(loops);
    private AdminServer admin;
    private HttpAddress address;

    @BeforeEach
    void start() {
        admin = new AdminServer(loops, "127.0.0.1", 0, () -> true, new MetricRegistry());
        address = new HttpAddress("127.0.0.1", admin.port());
    }

    @AfterEach
    void stop() {
        admin.close();
        client.close();
        loops.close();
    }

    private static void awaitDone(WarmUp warmUp) throws InterruptedException {
        for (long waitedMs = 0; !warmUp.isDone() && waitedMs < WAIT_MS; waitedMs += POLL_MS) {
            Thread.sleep(POLL_MS);
        }
        assertThat(warmUp.isDone()).isTrue();
    }

    @Test
    void endsEvenIfItsCallsFail() throws InterruptedException {
        awaitDone(WarmUp.start(client, address));
        admin.close();
        awaitDone(WarmUp.start(client, address));
    }

    @Test
    void connectFailsIfNoServerListens() {
        client.connect(address).join();
        HttpAddress other = new HttpAddress("127.0.0.1", freePort());
        CompletionException e =
                assertThrows(CompletionException.class, () -> client.connect(other).join());
        assertThat(((HttpCallException) e.getCause()).sent()).isFalse();
    }

    private int freePort() {
        HttpServer server =
                new HttpServer(loops, "127.0.0.1", 0, HttpLimits.DEFAULT, (call, exchange) -> {});
        int port = server.port();
        server.close();
        return port;
    }
}
