package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Pause;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests answers that end like the begin of another one, behind which nothing comes. */
class DoubtfulAnswerTest {

    private static final int ENGINES = 2;
    private static final int BACKLOG = 16;
    private static final long PAUSE_MS = 40;

    /** The objective of the routes, in milliseconds; a request queues for 1,500 ms at most. */
    private static final long OBJECTIVE_MS = 300;

    private static final String LETTER = "The letter that was asked for. ";
    private static final String BEGIN = "HTTP/1.1 5";

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private final NettyLoops loops = new NettyLoops(1);
    private final List<SocketServer> engines = new ArrayList<>();
    private final List<ServerInstance> instances = new ArrayList<>();

    @BeforeEach
    void startEngines() throws IOException {
        for (int i = 0; i < ENGINES; i++) {
            SocketServer engine = new SocketServer(listener(), this::serve);
            engines.add(engine);
            instances.add(GatewayFixture.instance("engine-" + i, engine.port()));
        }
    }

    private static ServerSocket listener() throws IOException {
        return new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        loops.close();
        for (SocketServer engine : engines) {
            engine.close();
        }
    }

    /** Answers doubtfully the first time, and each time if the path ends with "always". */
    private void serve(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            PlatformEngineStandin.ReceivedRequest request = RequestReader.read(in);
            String id = request.header("request-id");
            int run = runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            boolean sound = run > 1;
            String end = sound && !request.path().endsWith("always") ? "Regards." : BEGIN;
            int length = LETTER.length() + end.length();
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nRequest-Id: "
                            + id
                            + "\r\nUpstream-Signature: proof\r\nContent-Length: "
                            + length
                            + "\r\n\r\n"
                            + LETTER);
            Pause.forMs(PAUSE_MS);
            write(out, end);
        }
    }

    private static void write(OutputStream out, String bytes) throws IOException {
        out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns the body that a caller of an entry gets which may send requests again. */
    private String bodyOf(String path) throws Exception {
        try (GatewayFixture gateway = new GatewayFixture(loops, instances);
                RawCaller caller = new RawCaller(gateway.address())) {
            caller.send(RawCaller.request("asked", path, "{}"));
            RawCaller.Answer answer = caller.read();
            assertThat(answer.status()).isEqualTo(200);
            return answer.body();
        }
    }

    /** Guards against a second answer whose first bytes just fill up the first, and then stop. */
    @Test
    void aRequestThatMayRunAgainGetsTheAnswerOfAnotherServer() throws Exception {
        assertThat(bodyOf("/plain/letter")).isEqualTo(LETTER + "Regards.");
        assertThat(runs.get("asked").get()).isEqualTo(2);
    }

    /** Guards against a sound answer that is refused though no second one is shown. */
    @Test
    void aRequestThatMayRunOnceGetsTheAnswer() throws Exception {
        assertThat(bodyOf("/once/letter")).isEqualTo(LETTER + BEGIN);
        assertThat(runs.get("asked").get()).isEqualTo(1);
    }

    /** Guards against an answer that is held, or dropped, for a server that does not exist. */
    @Test
    void theAnswerOfTheOnlyServerIsPassedOnAtOnce() throws Exception {
        instances.remove(1);
        long startNanos = System.nanoTime();
        assertThat(bodyOf("/plain/letter")).isEqualTo(LETTER + BEGIN);
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(elapsedMs).isLessThan(OBJECTIVE_MS * 4);
        assertThat(runs.get("asked").get()).isEqualTo(1);
    }

    /** Guards against sound answers that are refused by all servers because of their text. */
    @Test
    void anAnswerThatNoServerGivesOtherwiseIsPassedOn() throws Exception {
        assertThat(bodyOf("/plain/always")).isEqualTo(LETTER + BEGIN);
        assertThat(runs.get("asked").get()).isEqualTo(2);
    }
}
