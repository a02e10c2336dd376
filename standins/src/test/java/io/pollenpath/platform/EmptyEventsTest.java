package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.RequestReader;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Pause;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests streams of a server that goes on sending, and says nothing any more. */
class EmptyEventsTest {

    private static final int BACKLOG = 64;
    private static final int SERVERS = 2;
    private static final long EVENT_PERIOD_MS = 50;

    private final AtomicInteger streams = new AtomicInteger();

    /** Guards against a server that counts as alive for what says nothing (review/7). */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r\n", ":\n\n"})
    void aStreamThatSaysNothingGoesOnAtAnotherServer(String nothing) throws IOException {
        NettyLoops loops = new NettyLoops(1);
        try (SocketServer first = start(nothing);
                SocketServer second = start(nothing);
                GatewayFixture gateway =
                        new GatewayFixture(
                                loops,
                                List.of(
                                        GatewayFixture.instance("engine-0", first.port()),
                                        GatewayFixture.instance("engine-1", second.port())));
                RawCaller caller = new RawCaller(gateway.address())) {
            caller.send(RawCaller.request("r", "/stream/letter", "{}"));
            assertThat(caller.readWhole().body().replace(nothing, "").replace("\n", ""))
                    .isEqualTo("id: 1data: aid: 2data: b");
            assertThat(streams.get()).isEqualTo(SERVERS);
        } finally {
            loops.close();
        }
    }

    private SocketServer start(String nothing) throws IOException {
        return new SocketServer(
                new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()),
                socket -> serve(socket, nothing));
    }

    /** Says nothing behind the first event of the first stream; the second one is whole. */
    private void serve(Socket socket, String nothing) throws IOException {
        PlatformEngineStandin.ReceivedRequest request =
                RequestReader.read(new BufferedInputStream(socket.getInputStream()));
        boolean firstStream = streams.incrementAndGet() == 1;
        OutputStream out = socket.getOutputStream();
        write(
                out,
                "HTTP/1.1 200 OK\r\nUpstream-Signature: proof\r\nRequest-Id: "
                        + request.header("request-id")
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        if (!firstStream) {
            write(out, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return;
        }
        write(out, chunk("id: 1\ndata: a\n\n"));
        while (true) {
            Pause.forMs(EVENT_PERIOD_MS);
            write(out, chunk(nothing));
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
