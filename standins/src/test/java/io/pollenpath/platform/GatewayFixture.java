package io.pollenpath.platform;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingView;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.serving.Gateway;
import io.pollenpath.transport.serving.GatewayServer;
import io.pollenpath.transport.serving.GatewaySettings;
import io.pollenpath.transport.serving.WireDialect;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A gateway that listens for callers, and whose retry window began long enough ago for retries. */
final class GatewayFixture implements AutoCloseable {

    /** The service to which all routes lead. */
    static final String SERVICE = "drafts";

    /** The IP address of the gateway and of the servers. */
    static final String HOST = "127.0.0.1";

    private static final long RETRY_WINDOW_MS = 10_000;
    private static final double RETRY_RATIO = 0.2;
    private static final int RETRY_ALLOWANCE = 90;
    private static final long SILENCE_MS = 1_000;
    private static final long BUFFER_BYTES = 20_000_000;

    private final MetricRegistry metrics = new MetricRegistry();
    private final Gateway gateway;
    private final GatewayServer server;
    private final HttpAddress address;

    GatewayFixture(NettyLoops loops, List<ServerInstance> servers) throws IOException {
        this(loops, servers, new HeaderDialect());
    }

    GatewayFixture(NettyLoops loops, List<ServerInstance> servers, WireDialect dialect)
            throws IOException {
        EventLoop loop = loops.group().next();
        gateway = new Gateway(loop, settings(), dialect, metrics, new SplittableRandom(1));
        address = new HttpAddress(HOST, freePort());
        server = new GatewayServer(loop, HOST, address.port(), gateway);
        gateway.updateView(
                ServingView.EMPTY
                        .withConfig(ManifestDecoder.decode(PlatformFixtures.manifest(1, SERVICE)))
                        .withServers(servers));
    }

    private static GatewaySettings settings() {
        long startNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(RETRY_WINDOW_MS);
        return new GatewaySettings(
                "entry-1",
                "zone-a",
                startNanos,
                RETRY_RATIO,
                RETRY_ALLOWANCE,
                RETRY_WINDOW_MS,
                SILENCE_MS,
                BUFFER_BYTES);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Returns a server of the service that listens on a port. */
    static ServerInstance instance(String id, int port) {
        return new ServerInstance(id, 0, 0, SERVICE, HOST, port, "zone-a", 8, false);
    }

    Gateway gateway() {
        return gateway;
    }

    /** Returns where the gateway listens for callers. */
    HttpAddress address() {
        return address;
    }

    /** Returns the bytes of all requests and answers in memory. */
    long bufferedBytes() {
        return ((Number) metrics.getGauges().get("buffered_bytes").getValue()).longValue();
    }

    /** Returns the metrics that count work that failed within the gateway, by their causes. */
    Set<String> failures() {
        return metrics.getCounters((name, metric) -> name.startsWith("work_failed")).keySet();
    }

    @Override
    public void close() {
        server.close();
    }
}
