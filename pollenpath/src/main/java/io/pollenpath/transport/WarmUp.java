package io.pollenpath.transport;

import io.netty.channel.embedded.EmbeddedChannel;
import io.pollenpath.protocol.wire.Chunk;
import io.pollenpath.protocol.wire.Finished;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Head;
import io.pollenpath.protocol.wire.Started;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.util.Json;
import io.pollenpath.util.LogLine;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads the classes of the request path before the first request, so that it doesn't wait for class
 * loading. The warm-up calls the process's own admin port and encodes and decodes frames without
 * sending them. The process is not ready before the warm-up has ended.
 */
public final class WarmUp {

    private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
    private static final int ADMIN_CALLS = 20;
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final byte[] SSE_EVENT = "data: {}\n\n".getBytes(StandardCharsets.UTF_8);

    private final HttpClient client;
    private final HttpAddress adminAddress;
    private volatile boolean done;

    private WarmUp(HttpClient client, HttpAddress adminAddress) {
        this.client = client;
        this.adminAddress = adminAddress;
    }

    /**
     * Starts the warm-up in a new thread.
     *
     * @param client the HTTP client that the process also uses for requests, not null
     * @param adminAddress the address of the admin port of this process, not null
     * @return the running warm-up
     */
    public static WarmUp start(HttpClient client, HttpAddress adminAddress) {
        WarmUp warmUp = new WarmUp(client, adminAddress);
        Thread thread = new Thread(warmUp::run, "warm-up");
        thread.setDaemon(true);
        thread.start();
        return warmUp;
    }

    /**
     * Returns whether the warm-up has ended.
     *
     * @return true if it has ended, successfully or not
     */
    public boolean isDone() {
        return done;
    }

    private void run() {
        long startNanos = System.nanoTime();
        try {
            exchangeFrames();
            for (int i = 0; i < ADMIN_CALLS; i++) {
                callAdminPort();
            }
        } catch (RuntimeException e) {
            LOG.warn("{}", LogLine.event("warm_up_failed").with("error", e));
        }
        done = true;
        long durationMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        LOG.info("{}", LogLine.event("warmed_up").with("took_ms", durationMs));
    }

    private void callAdminPort() {
        HttpClient.Request request =
                new HttpClient.Request(adminAddress, "GET", "/healthz", Map.of(), new byte[0]);
        client.send(request).orTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS).join();
    }

    private static void exchangeFrames() {
        List<Frame.Builder> frames =
                List.of(
                        Frame.newBuilder().setSubmit(Submit.newBuilder().setRequestId("warm-up")),
                        Frame.newBuilder().setStarted(Started.newBuilder().setAttempt(1)),
                        Frame.newBuilder().setHead(Head.newBuilder().setStatus(1)),
                        Frame.newBuilder().setChunk(Chunk.newBuilder().setIndex(1)),
                        Frame.newBuilder().setFinished(Finished.newBuilder().setChunkCount(1)));
        EmbeddedChannel link = new EmbeddedChannel();
        PeerPipeline.addCodecs(link.pipeline(), PeerLimits.DEFAULT.maxFrameBytes());
        for (Frame.Builder frame : frames) {
            link.writeOutbound(frame.setVersion(PeerPipeline.VERSION).build());
            link.writeInbound(link.<Object>readOutbound());
        }
        link.finishAndReleaseAll();
        new SseParser(data -> {}, PeerLimits.DEFAULT.maxFrameBytes()).feed(SSE_EVENT);
        Json.parse("{}".getBytes(StandardCharsets.UTF_8));
    }
}
