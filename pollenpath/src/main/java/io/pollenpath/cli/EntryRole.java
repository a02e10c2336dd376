package io.pollenpath.cli;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.pollenpath.coordination.routing.ExpectedStartRouter;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.transport.AdminServer;
import io.pollenpath.transport.ConfigNode;
import io.pollenpath.transport.ControlThread;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpObjectApi;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.MeteredObjectApi;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.ProcessMetrics;
import io.pollenpath.transport.Traces;
import io.pollenpath.transport.WarmUp;
import io.pollenpath.transport.entry.EntryHandler;
import io.pollenpath.transport.entry.EntryOptions;
import io.pollenpath.transport.entry.ObjectApiRunClaimStore;
import io.pollenpath.transport.entry.RunClaimStore;
import io.pollenpath.util.LogLine;
import io.pollenpath.util.Pause;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts the parts of an entry process in order and stops them in the reverse order. */
final class EntryRole implements Role {

    private static final Logger LOG = LoggerFactory.getLogger(EntryRole.class);
    private static final long POLL_MS = 20;

    /** Random numbers of the calling thread, since every traffic thread routes. */
    private static final RandomGenerator RANDOM = () -> ThreadLocalRandom.current().nextLong();

    private final EntrySettings settings;
    private final MetricRegistry metrics = new MetricRegistry();
    private final NettyLoops loops;
    private final Traces traces;
    private final HttpClient client;
    private final ControlThread control;
    private final EntryHandler handler;
    private final ConfigNode config;
    private final AdminServer admin;
    private final HttpServer server;
    private final WarmUp warmUp;

    EntryRole(EntrySettings settings) {
        this.settings = settings;
        loops = new NettyLoops(settings.trafficThreads);
        traces = new Traces(settings.name, settings.otlpEndpoint, metrics);
        client = new HttpClient(loops);
        control = new ControlThread(() -> {});
        EntryOptions options =
                new EntryOptions(
                        settings.name,
                        settings.zone,
                        settings.maxAttempts,
                        settings.deliveryLimits(),
                        settings.liveEntries);
        HttpObjectApi calls =
                new HttpObjectApi(
                        client, HttpAddress.parse(settings.objectApi), settings.objectApiTimeoutMs);
        ObjectApi api = new MeteredObjectApi(calls, metrics);
        config = new ConfigNode(settings.configOptions(), api, loops, control);
        RunClaimStore guard = new ObjectApiRunClaimStore(api);
        handler =
                new EntryHandler(
                        options, loops, ExpectedStartRouter.create(RANDOM), guard, traces, config);
        config.start(settings.seedAddresses(), handler::onConfig);
        ProcessMetrics.register(metrics);
        metrics.register("open_requests", (Gauge<Integer>) handler::openRequests);
        config.register(metrics);
        admin =
                new AdminServer(
                        loops, settings.listenHost, settings.adminPort, this::isReady, metrics);
        server =
                new HttpServer(
                        loops, settings.listenHost, settings.port, settings.httpLimits(), handler);
        warmUp = WarmUp.start(client, new HttpAddress(settings.listenHost, admin.port()));
        LOG.info(
                "{}",
                LogLine.event("listening")
                        .with("role", "entry")
                        .with("name", settings.name)
                        .with("port", server.port())
                        .with("admin_port", admin.port()));
    }

    private boolean isReady() {
        return warmUp != null && warmUp.isDone() && handler.isReady();
    }

    @Override
    public boolean stop() {
        handler.stopAccepting();
        server.stopAccepting();
        boolean whole = awaitOpenRequests();
        server.close();
        admin.close();
        config.close();
        handler.close();
        control.close();
        client.close();
        traces.close();
        loops.close();
        return whole;
    }

    private boolean awaitOpenRequests() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.graceMs);
        while (handler.openRequests() > 0) {
            if (System.nanoTime() - endNanos >= 0) {
                return false;
            }
            Pause.forMs(POLL_MS);
        }
        return true;
    }
}
