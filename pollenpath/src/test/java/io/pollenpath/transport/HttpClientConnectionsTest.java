package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests bounded connections to a server that may leave calls without an answer. */
class HttpClientConnectionsTest {

    private static final int MAX_CONNECTIONS = 4;
    private static final int CALLS = 60;
    private static final int CLOSE_TIMEOUT_MS = 10_000;
    private static final String HEAD_END = "\r\n\r\n";
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient client = HttpClient.bounded(loops, MAX_CONNECTIONS);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean answering;
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, CALLS, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                accepted.incrementAndGet();
                open.incrementAndGet();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            assertThat(server.isClosed()).isTrue();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            StringBuilder head = new StringBuilder();
            int next = socket.getInputStream().read();
            while (next >= 0) {
                head.append((char) next);
                if (answering && head.toString().endsWith(HEAD_END)) {
                    socket.getOutputStream().write(ANSWER);
                }
                next = socket.getInputStream().read();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            open.decrementAndGet();
        }
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        loops.close();
        server.close();
        threads.shutdownNow();
    }

    private List<CompletableFuture<HttpReply>> call(long timeoutMs) {
        HttpAddress address = new HttpAddress("127.0.0.1", server.getLocalPort());
        HttpClient.Request request =
                new HttpClient.Request(address, "GET", "/", Map.of(), new byte[0]);
        List<CompletableFuture<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            calls.add(client.send(request).orTimeout(timeoutMs, TimeUnit.MILLISECONDS));
        }
        return calls;
    }

    @Test
    void callsThatTimeOutHoldNoMoreConnectionsThanTheLimit() throws InterruptedException {
        for (CompletableFuture<HttpReply> call : call(100)) {
            assertThrows(CompletionException.class, call::join);
        }
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
        while (open.get() > MAX_CONNECTIONS && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
        assertThat(open.get()).isAtMost(MAX_CONNECTIONS);
        assertThat(accepted.get()).isAtMost(2 * MAX_CONNECTIONS);
    }

    @Test
    void callsThatWaitForAConnectionAreSentWhenOneIsFree() {
        answering = true;
        for (CompletableFuture<HttpReply> call : call(CLOSE_TIMEOUT_MS)) {
            assertThat(call.join().status()).isEqualTo(200);
        }
        assertThat(accepted.get()).isAtMost(MAX_CONNECTIONS);
    }
}
