package io.pollenpath.transport;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests calls whose answers are too large for the memory of the client in sum. */
class CollectedBytesTest {

    private static final long MAX_BYTES = 4_000_000;
    private static final int ANSWER_BYTES = 1_000_000;
    private static final int CALLS = 12;
    private static final int TIMEOUT_S = 10;

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient client = new HttpClient(loops, MAX_BYTES);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ServerSocket listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());

    CollectedBytesTest() throws IOException {
        threads.execute(this::acceptAll);
    }

    private void acceptAll() {
        try {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed, so no more connections arrive.
        }
    }

    /** Answers /small in full; of all other answers the end is missing. */
    private static void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            boolean small = in.readLine().contains("/small");
            String head = "HTTP/1.1 200 OK\r\nContent-Length: ";
            String body = small ? "4\r\n\r\ndone" : "9999999\r\n\r\n" + "a".repeat(ANSWER_BYTES);
            OutputStream out = socket.getOutputStream();
            out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            while (in.readLine() != null) {
                // Waits until the client closes the connection.
            }
        } catch (IOException | RuntimeException e) {
            // The client has closed the connection.
        }
    }

    private CompletableFuture<HttpReply> call(String path) {
        HttpAddress address = new HttpAddress("127.0.0.1", listener.getLocalPort());
        return client.send(new HttpClient.Request(address, "GET", path, Map.of(), new byte[0]));
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        threads.shutdownNow();
        client.close();
        loops.close();
    }

    /** Guards against many answers that each are within their bound and in sum fill the heap. */
    @Test
    void answersInSumStayWithinTheirMemory() throws Exception {
        List<CompletableFuture<HttpReply>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            calls.add(call("/large"));
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        int fit = (int) (MAX_BYTES / ANSWER_BYTES);
        while (failed(calls) < CALLS - fit && System.nanoTime() < endNanos) {
            Thread.sleep(10);
        }
        assertThat(failed(calls)).isAtLeast(CALLS - fit);
        assertThat(failed(calls)).isLessThan(CALLS);
        assertThat(call("/small").get(TIMEOUT_S, TimeUnit.SECONDS).status()).isEqualTo(200);
    }

    private static long failed(List<CompletableFuture<HttpReply>> calls) {
        return calls.stream().filter(CompletableFuture::isCompletedExceptionally).count();
    }

    @Test
    void givesBackWhatIsNoLongerCollected() {
        CollectedBytes bytes = new CollectedBytes(MAX_BYTES);
        assertThat(bytes.add(0, MAX_BYTES)).isTrue();
        assertThat(bytes.add(0, CollectedBytes.SMALL_BYTES)).isTrue();
        assertThat(bytes.add(CollectedBytes.SMALL_BYTES, 1)).isFalse();
        bytes.remove(MAX_BYTES);
        assertThat(bytes.add(CollectedBytes.SMALL_BYTES, 1)).isTrue();
        assertThat(bytes.sum()).isEqualTo(CollectedBytes.SMALL_BYTES + 2);
    }
}
