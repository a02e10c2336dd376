package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays connections of callers and servers that end while the event loop stands still, so that it
 * sees all of it in one pass. The seeds are 1 to 3, or from 1 to the system property {@code
 * soak.seeds}.
 */
class ConnectionsEndTogetherTest {

    private static final int SERVERS = 6;
    private static final int PAIRS = 30;

    /** The longest time for which a server is avoided after its connections have failed. */
    private static final long AVOIDED_MS = 3_300;

    private static final long STANDSTILL_MS = 60;
    private static final long AWAIT_MS = 5_000;
    private static final List<String> ROUTES = List.of("/once/", "/plain/", "/stream-final/");

    /** The timeout of all routes, and what an answer at that time may take. */
    private static final long ANSWER_LIMIT_MS = 2_000 + 500;

    private static final int LONG_REQUESTS = 6;
    private static final int SHORT_REQUESTS = 100;
    private static final double MIN_SERVED = 0.99;

    private final ConcurrentHashMap<String, Socket> waiting = new ConcurrentHashMap<>();
    private final List<WaitingEngine> engines = new ArrayList<>();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private NettyLoops loops;
    private GatewayFixture gateway;

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("soak.seeds", 3));
    }

    @BeforeEach
    void start() throws IOException {
        loops = new NettyLoops(1);
        for (int i = 0; i < SERVERS; i++) {
            engines.add(new WaitingEngine("engine-" + i, waiting));
        }
        gateway = new GatewayFixture(loops, engines.stream().map(WaitingEngine::instance).toList());
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        gateway.close();
        loops.close();
        for (WaitingEngine engine : engines) {
            engine.close();
        }
    }

    /** Guards against timeouts that never come, for all requests, after such ends (review/6). */
    @ParameterizedTest
    @MethodSource("seeds")
    void requestsStillEndAtTheirTimeout(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        endTogether(random);
        Pause.forMs(AVOIDED_MS);
        checkLongRequests(seed);
        checkShortRequests(seed);
        awaitNothingOpen(seed);
    }

    private void endTogether(SplittableRandom random) throws Exception {
        List<Socket> ends = new ArrayList<>();
        for (int i = 0; i < PAIRS; i++) {
            String id = "pair-" + i;
            Socket caller = new Socket(gateway.address().host(), gateway.address().port());
            String path = ROUTES.get(i % ROUTES.size()) + "wait";
            String request = RawCaller.request(id, path, "{}");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            ends.add(caller);
            ends.add(awaitWaiting(id));
        }
        CountDownLatch stands = new CountDownLatch(1);
        loops.group()
                .execute(
                        () -> {
                            stands.countDown();
                            Pause.forMs(STANDSTILL_MS);
                        });
        stands.await();
        endAll(ends, random);
        Pause.forMs(STANDSTILL_MS);
    }

    private Socket awaitWaiting(String id) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MS);
        while (!waiting.containsKey(id) && System.nanoTime() < endNanos) {
            Pause.forMs(1);
        }
        assertWithMessage("request %s reached a server", id).that(waiting).containsKey(id);
        return waiting.remove(id);
    }

    /** Closes or resets connections in random order. */
    private static void endAll(List<Socket> ends, SplittableRandom random) throws IOException {
        while (!ends.isEmpty()) {
            Socket end = ends.remove(random.nextInt(ends.size()));
            if (random.nextBoolean()) {
                end.setSoLinger(true, 0);
            }
            end.close();
        }
    }

    private void checkLongRequests(long seed) {
        List<CompletableFuture<Long>> answers = new ArrayList<>();
        for (int i = 0; i < LONG_REQUESTS; i++) {
            String id = "long-" + i;
            String path = ROUTES.get(i % ROUTES.size()) + "wait-long";
            answers.add(CompletableFuture.supplyAsync(() -> timeMs(id, path), callers));
        }
        for (int i = 0; i < LONG_REQUESTS; i++) {
            awaitWaiting("long-" + i);
        }
        for (CompletableFuture<Long> answer : answers) {
            assertWithMessage("ms to an answer, seed %s", seed)
                    .that(answer.join())
                    .isAtMost(ANSWER_LIMIT_MS);
        }
    }

    /** Returns the time to the answer of a request, or to the end of the wait for it. */
    private long timeMs(String id, String path) {
        long sentNanos = System.nanoTime();
        call(id, path);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    }

    private int call(String id, String path) {
        try (RawCaller caller = new RawCaller(gateway.address())) {
            caller.send(RawCaller.request(id, path, "{}"));
            return caller.read().status();
        } catch (IOException e) {
            return 0;
        }
    }

    private void checkShortRequests(long seed) {
        int served = 0;
        for (int i = 0; i < SHORT_REQUESTS; i++) {
            served += call("short-" + i, "/plain/short") == 200 ? 1 : 0;
        }
        assertWithMessage("others served, seed %s", seed)
                .that((double) served / SHORT_REQUESTS)
                .isAtLeast(MIN_SERVED);
    }

    private void awaitNothingOpen(long seed) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MS);
        while (isAnythingOpen() && System.nanoTime() < endNanos) {
            Pause.forMs(10);
        }
        assertWithMessage("requests, seed %s", seed)
                .that(gateway.gateway().openRequests())
                .isEqualTo(0);
        assertWithMessage("bytes, seed %s", seed).that(gateway.bufferedBytes()).isEqualTo(0);
        assertWithMessage("failures, seed %s", seed).that(gateway.failures()).isEmpty();
    }

    private boolean isAnythingOpen() {
        return gateway.gateway().openRequests() > 0 || gateway.bufferedBytes() > 0;
    }
}
