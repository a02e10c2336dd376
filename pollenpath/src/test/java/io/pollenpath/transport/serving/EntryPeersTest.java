package io.pollenpath.transport.serving;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.pollenpath.coordination.serving.CrashHistory;
import io.pollenpath.coordination.serving.EntryCatchUp;
import io.pollenpath.coordination.serving.ServerLimits;
import io.pollenpath.coordination.serving.ServerSelector;
import io.pollenpath.coordination.serving.ServerSlowdowns;
import io.pollenpath.coordination.serving.SlowdownReport;
import io.pollenpath.state.serving.CrashSuspect;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how often an entry calls the others. */
class EntryPeersTest {

    private static final int SETTLE_MS = 600;
    private static final int CALL_TIMEOUT_MS = 3_000;

    private final NettyLoops loops = new NettyLoops(1);
    private final EventLoop loop = loops.group().next();
    private final HttpClient http = new HttpClient(loops);
    private final AtomicInteger calls = new AtomicInteger();
    private final ServerLimits limits = new ServerLimits("entry-1", new Random(1));
    private final ServerSlowdowns slowdowns = new ServerSlowdowns();
    private final MetricRegistry metrics = new MetricRegistry();
    private final CrashGuard guard =
            new CrashGuard(
                    "entry-1",
                    new BackendConnectionPool(loop, null, cause -> {}),
                    new CrashLog(metrics),
                    new Random(1),
                    System.nanoTime());
    private final BackendServers servers =
            new BackendServers(
                    limits,
                    slowdowns,
                    new ServerSelector("zone-a", limits, slowdowns, new Random(1)),
                    new LimitLog(metrics));
    private final EntryPeers peers =
            new EntryPeers(
                    loop,
                    http,
                    new EntryKnowledge(guard, servers),
                    new EntryCatchUp(System.nanoTime()));
    private volatile int status = 200;
    private volatile byte[] body = new byte[0];
    private final HttpServer other =
            new HttpServer(
                    loops,
                    "127.0.0.1",
                    0,
                    HttpLimits.DEFAULT,
                    (call, exchange) -> {
                        calls.incrementAndGet();
                        exchange.respond(status, EntryServer.MEDIA_TYPE, Map.of(), body);
                    });

    @AfterEach
    void stop() {
        other.close();
        http.close();
        loops.close();
    }

    private void setAddressesOften() throws Exception {
        Set<String> addresses = Set.of("127.0.0.1:" + other.port());
        for (int i = 0; i < 30; i++) {
            loop.submit(() -> peers.setAddresses(addresses)).sync();
            Thread.sleep(SETTLE_MS / 30);
        }
    }

    @Test
    void callsAnotherEntryOnceUntilSomethingChanges() throws Exception {
        setAddressesOften();
        assertThat(calls.get()).isEqualTo(1);
        servers.onLimit("engine-1", "r", OptionalDouble.of(1), System.nanoTime());
        loop.submit(peers::onChange).sync();
        Thread.sleep(SETTLE_MS / 3);
        assertThat(calls.get()).isEqualTo(2);
    }

    /** Returns a message that tells of a crash. */
    private static byte[] messageWithACrash() {
        CrashHistory history = new CrashHistory();
        Set<CrashSuspect> suspects = Set.of(new CrashSuspect(1, 1));
        history.recordCrash("engine-1@1", "drafts", suspects, System.nanoTime());
        return EntryMessages.encode(
                new EntryMessage(
                        new EntryKnowledge.Report(
                                history.report(System.nanoTime()), List.of(), List.of()),
                        Optional.empty(),
                        false));
    }

    @Test
    void passesOnWhatAnotherEntryTold() throws Exception {
        guard.setOnLearned(peers::onLearned);
        setAddressesOften();
        byte[] message = messageWithACrash();
        for (int i = 0; i < 3; i++) {
            loop.submit(() -> peers.receive(message)).sync();
            Thread.sleep(SETTLE_MS / 3);
        }
        assertThat(calls.get()).isEqualTo(2);
    }

    @Test
    void hearsOfASlowServerAndKeepsItToItself() throws Exception {
        guard.setOnLearned(peers::onLearned);
        setAddressesOften();
        int before = calls.get();
        byte[] message = EntryMessages.encode(new SlowdownReport("10.1.0.4:8000", 12));
        assertThat(loop.submit(() -> peers.receive(message)).get()).isPresent();
        assertThat(slowdowns.factor("10.1.0.4:8000", System.nanoTime())).isEqualTo(12);
        Thread.sleep(SETTLE_MS / 3);
        assertThat(calls.get()).isEqualTo(before);
    }

    @Test
    void callsAnEntryThatFailsRarelyThoughTheViewChangesOften() throws Exception {
        status = 500;
        setAddressesOften();
        assertThat(calls.get()).isAtMost(4);
    }

    /** Guards against what a broken answer tells, and against an entry that is not asked again. */
    @ParameterizedTest
    @ValueSource(strings = {"000 Status\r\n", "200 OK\r\nX-Odd Name: a\r\n"})
    void believesNothingOfABrokenAnswerAndAsksAgain(String broken) throws Exception {
        AtomicInteger learned = new AtomicInteger();
        guard.setOnLearned(learned::incrementAndGet);
        byte[] message = messageWithACrash();
        try (ServerSocket entry = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Set<String> addresses = Set.of("127.0.0.1:" + entry.getLocalPort());
            loop.submit(() -> peers.setAddresses(addresses)).sync();
            answer(entry, broken, message);
            assertThat(learned.get()).isEqualTo(0);
            answer(entry, "200 OK\r\n", message);
            Thread.sleep(SETTLE_MS / 3);
            assertThat(learned.get()).isEqualTo(1);
        }
    }

    /** Guards against an entry that is not asked again because its answer could not be used. */
    @Test
    void asksAnEntryAgainWhoseAnswerCanNotBeMerged() throws Exception {
        body = messageWithACrash();
        guard.setOnLearned(
                () -> {
                    throw new IllegalStateException("asked to fail");
                });
        Set<String> addresses = Set.of("127.0.0.1:" + other.port());
        loop.submit(() -> peers.setAddresses(addresses)).sync();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CALL_TIMEOUT_MS);
        while (calls.get() < 2 && System.nanoTime() < endNanos) {
            Thread.sleep(SETTLE_MS / 30);
        }
        Thread.sleep(SETTLE_MS);
        assertThat(calls.get()).isEqualTo(2);
    }

    /** Guards against a trial that waits for a vote that is never counted. */
    @Test
    void anAnswerThatCanNotBeMergedIsNoVote() throws Exception {
        try (ServerSocket entry = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Set<String> addresses = Set.of("127.0.0.1:" + entry.getLocalPort());
            loop.submit(() -> peers.setAddresses(addresses)).sync();
            answer(entry, "200 OK\r\n", new byte[0]);
            guard.setOnLearned(
                    () -> {
                        throw new IllegalStateException("asked to fail");
                    });
            CompletableFuture<Boolean> told = loop.submit(peers::tell).get();
            answer(entry, "200 OK\r\n", messageWithACrash());
            assertThat(told.get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isFalse();
        }
    }

    /** Answers the next call, and returns once the caller has closed the connection or waits. */
    private static void answer(ServerSocket entry, String head, byte[] content) throws Exception {
        entry.setSoTimeout(CALL_TIMEOUT_MS);
        try (Socket socket = entry.accept()) {
            socket.setSoTimeout(SETTLE_MS / 6);
            OutputStream out = socket.getOutputStream();
            String length = "Content-Length: " + content.length + "\r\n\r\n";
            out.write(("HTTP/1.1 " + head + length).getBytes(StandardCharsets.ISO_8859_1));
            out.write(content);
            socket.getInputStream().readAllBytes();
        } catch (SocketTimeoutException e) {
            // The caller keeps the connection for its next call.
        }
    }
}
