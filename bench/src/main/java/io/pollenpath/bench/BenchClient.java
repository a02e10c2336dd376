package io.pollenpath.bench;

import io.netty.handler.codec.http.HttpHeaders;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** HTTP client that sends requests to processes of the bench as a caller does. */
public final class BenchClient implements AutoCloseable {

    private final NettyLoops loops = new NettyLoops(2);
    private final HttpClient client = new HttpClient(loops);

    /**
     * Builds the body of a completion request.
     *
     * @param model the name of the model
     * @param prompt the prompt
     * @param maxTokens the maximum number of tokens to generate
     * @param stream whether the answer is streamed
     * @return the JSON body in UTF-8
     */
    public static byte[] completion(String model, String prompt, int maxTokens, boolean stream) {
        return Json.bytes(
                Json.object()
                        .put("model", model)
                        .put("prompt", prompt)
                        .put("max_tokens", maxTokens)
                        .put("stream", stream));
    }

    /**
     * Sends a POST request and collects the whole answer.
     *
     * @param port the port on the loopback address
     * @param path the path
     * @param headers the headers to send besides the content type
     * @param body the body
     * @return the answer
     */
    public CompletableFuture<HttpReply> post(
            int port, String path, Map<String, String> headers, byte[] body) {
        return client.send(request(port, "POST", path, headers, body));
    }

    /**
     * Sends a GET request and collects the whole answer.
     *
     * @param port the port on the loopback address
     * @param path the path
     * @param headers the headers to send besides the content type
     * @return the answer
     */
    public CompletableFuture<HttpReply> get(int port, String path, Map<String, String> headers) {
        return client.send(request(port, "GET", path, headers, new byte[0]));
    }

    private static HttpClient.Request request(
            int port, String method, String path, Map<String, String> headers, byte[] body) {
        Map<String, String> all = new HashMap<>(headers);
        all.put("content-type", "application/json");
        HttpAddress address = new HttpAddress("127.0.0.1", port);
        return new HttpClient.Request(address, method, path, all, body);
    }

    /**
     * Sends a POST request and measures the time until its streamed answer arrives.
     *
     * @param port the port on the loopback address
     * @param path the path
     * @param headers the headers to send besides the content type
     * @param body the body
     * @return the timing, once the answer is complete
     */
    public CompletableFuture<Timing> measureStream(
            int port, String path, Map<String, String> headers, byte[] body) {
        CompletableFuture<Timing> timing = new CompletableFuture<>();
        client.stream(request(port, "POST", path, headers, body), new Timer(timing));
        return timing;
    }

    /**
     * The timing of one streamed answer.
     *
     * @param status the HTTP status
     * @param firstNanos the time from the request to the first chunk of the body, in nanoseconds
     * @param totalNanos the time from the request to the end of the answer, in nanoseconds
     * @param bytes the size of the body, in bytes
     */
    public record Timing(int status, long firstNanos, long totalNanos, long bytes) {}

    /**
     * Decodes the body of a reply as UTF-8.
     *
     * @param reply the reply
     * @return the body as text
     */
    public static String text(HttpReply reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        client.close();
        loops.close();
    }

    /** Records when the parts of an answer arrive. */
    private static final class Timer implements HttpClient.Listener {
        private final CompletableFuture<Timing> timing;
        private final long startNanos = System.nanoTime();
        private int status;
        private long firstNanos;
        private long bytes;

        Timer(CompletableFuture<Timing> timing) {
            this.timing = timing;
        }

        @Override
        public void onHead(int newStatus, HttpHeaders headers) {
            status = newStatus;
        }

        @Override
        public void onData(byte[] chunk) {
            if (bytes == 0) {
                firstNanos = System.nanoTime() - startNanos;
            }
            bytes += chunk.length;
        }

        @Override
        public void onEnd() {
            timing.complete(new Timing(status, firstNanos, System.nanoTime() - startNanos, bytes));
        }

        @Override
        public void onFailure(Throwable cause, boolean sent) {
            timing.completeExceptionally(cause);
        }
    }
}
