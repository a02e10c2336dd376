package io.pollenpath.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.pollenpath.cli.Role;
import io.pollenpath.transport.AdminServer;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpCall;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpExchange;
import io.pollenpath.transport.HttpLimits;
import io.pollenpath.transport.HttpServer;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.ProcessMetrics;
import io.pollenpath.transport.serving.EntryServer;
import io.pollenpath.transport.serving.Gateway;
import io.pollenpath.transport.serving.GatewayServer;
import io.pollenpath.transport.serving.GatewaySettings;
import io.pollenpath.util.LogLine;
import io.pollenpath.util.Pause;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs an entry on the platform: a gateway whose view comes from the platform's store. */
final class PlatformEntry implements Role, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PlatformEntry.class);
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long STALL_MARGIN_MS = 200;

    /**
     * How long the platform still sends new connections after this entry stopped reporting that it
     * is ready.
     */
    private static final long READINESS_LAG_MS = 2_600;

    private static final long EXIT_MARGIN_MS = 700;
    private static final long DRAIN_POLL_MS = 50;

    private static final int MAX_CONNECTIONS_PER_SERVER = 8;

    /** Copies on their way through the sockets need room too, and so does all other state. */
    private static final int BUFFERS_PER_HEAP = 4;

    private final PlatformSettings settings;
    private final NettyLoops loops = new NettyLoops(1);
    private final ScheduledExecutorService control = ControlThreads.newExecutor();
    private final StoreClient store;
    private final Gateway gateway;
    private final ServingViewPublisher viewPublisher;
    private final EntryDirectory directory;
    private volatile boolean stopping;

    /**
     * Starts the entry.
     *
     * @param file the settings file, which is reloaded when it changes
     * @param settings the settings of the process
     * @param onOutOfMemory ends the process when its memory has run out
     * @throws IllegalStateException if an address can't be bound
     */
    PlatformEntry(Path file, PlatformSettings settings, Runnable onOutOfMemory) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        ProcessMetrics.register(metrics);
        EventLoop loop = loops.group().next();
        gateway =
                new Gateway(
                        loop,
                        gatewaySettings(),
                        new HeaderDialect(),
                        metrics,
                        new SplittableRandom());
        gateway.setOnOutOfMemory(onOutOfMemory);
        HttpClient http = HttpClient.bounded(loops, MAX_CONNECTIONS_PER_SERVER);
        store = new StoreClient(http, settings.store());
        HttpAddress peerAddress = new HttpAddress(settings.ip(), settings.firstInternalPort() + 1);
        new EntryServer(loops, peerAddress.host(), peerAddress.port(), gateway);
        gateway.connectEntries(http);
        gateway.setIncarnations(new EngineIncarnations(http));
        viewPublisher = new ServingViewPublisher(store, settings, control, gateway::updateView);
        settings.readinessAddress().ifPresent(this::serveReadiness);
        settings.callerAddress()
                .ifPresent(
                        address ->
                                new GatewayServer(loop, address.host(), address.port(), gateway));
        new AdminServer(loops, settings.ip(), settings.firstInternalPort(), this::isReady, metrics);
        viewPublisher.start();
        directory = new EntryDirectory(store, control, settings.node());
        directory.register(peerAddress);
        new SettingsReload(file, settings, newSettings -> store.setAddress(newSettings.store()))
                .start(control);
        LOG.info(
                "{}",
                LogLine.event("started")
                        .with("node", settings.node())
                        .with("zone", settings.zone())
                        .with("store", settings.store()));
    }

    private GatewaySettings gatewaySettings() {
        DeploymentBounds bounds = settings.bounds();
        return new GatewaySettings(
                settings.node(),
                settings.zone(),
                System.nanoTime(),
                bounds.retryRatio(),
                bounds.retryAllowance(),
                bounds.retryWindowMs(),
                bounds.stallMs() + STALL_MARGIN_MS,
                Runtime.getRuntime().maxMemory() / BUFFERS_PER_HEAP);
    }

    private void serveReadiness(HttpAddress address) {
        new HttpServer(
                loops, address.host(), address.port(), HttpLimits.DEFAULT, this::respondReadiness);
    }

    private void respondReadiness(HttpCall call, HttpExchange exchange) {
        int status = isReady() ? STATUS_OK : STATUS_UNAVAILABLE;
        exchange.respond(status, "application/json", Map.of(), "{}".getBytes(UTF_8));
    }

    private boolean isReady() {
        return !stopping && gateway.view().isComplete();
    }

    @Override
    public boolean stop() {
        stopping = true;
        gateway.closeConnectionsAfterAnswer();
        directory.withdraw();
        long startNanos = System.nanoTime();
        long drainEndMs = Math.max(READINESS_LAG_MS, settings.bounds().graceMs() - EXIT_MARGIN_MS);
        gateway.expectEnd(startNanos + TimeUnit.MILLISECONDS.toNanos(drainEndMs));
        sleepUntil(startNanos, READINESS_LAG_MS);
        gateway.refuseNewRequests();
        while (gateway.openRequests() > 0 && elapsedMs(startNanos) < drainEndMs) {
            Pause.forMs(DRAIN_POLL_MS);
        }
        boolean completed = gateway.openRequests() == 0;
        gateway.endRequests();
        Pause.forMs(DRAIN_POLL_MS);
        return completed;
    }

    /** Ends at once all that the entry does, without a graceful stop. */
    @Override
    public void close() {
        control.shutdownNow();
        loops.close();
    }

    private static long elapsedMs(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static void sleepUntil(long startNanos, long endMs) {
        Pause.forMs(Math.max(0, endMs - elapsedMs(startNanos)));
    }
}
