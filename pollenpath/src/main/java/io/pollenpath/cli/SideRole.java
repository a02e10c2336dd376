package io.pollenpath.cli;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.pollenpath.transport.AdminServer;
import io.pollenpath.transport.CombinedPeerHandler;
import io.pollenpath.transport.ConfigNode;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpObjectApi;
import io.pollenpath.transport.MeteredObjectApi;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.PeerServer;
import io.pollenpath.transport.ProcessMetrics;
import io.pollenpath.transport.Traces;
import io.pollenpath.transport.WarmUp;
import io.pollenpath.transport.side.BackendProbe;
import io.pollenpath.transport.side.HttpBackend;
import io.pollenpath.transport.side.SideOptions;
import io.pollenpath.transport.side.SideProcess;
import io.pollenpath.util.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts the components of a side process and stops them again. */
final class SideRole implements Role {

    private static final Logger LOG = LoggerFactory.getLogger(SideRole.class);

    private final SideSettings settings;
    private final MetricRegistry metrics = new MetricRegistry();
    private final NettyLoops loops;
    private final Traces traces;
    private final HttpClient client;
    private final SideProcess process;
    private final ConfigNode config;
    private final BackendProbe probe;
    private final AdminServer admin;
    private final PeerServer server;
    private final WarmUp warmUp;

    SideRole(SideSettings settings) {
        this.settings = settings;
        loops = new NettyLoops(settings.trafficThreads);
        traces = new Traces(settings.name, settings.otlpEndpoint, metrics);
        client = new HttpClient(loops);
        SideOptions options =
                new SideOptions(
                        settings.name,
                        settings.zone,
                        settings.maxRunning,
                        settings.maxQueued,
                        settings.retentionMs,
                        settings.answerLimits());
        HttpBackend backend =
                new HttpBackend(
                        client, HttpAddress.parse(settings.backend), settings.maxEventBytes);
        process = new SideProcess(options, backend, traces);
        HttpObjectApi httpApi =
                new HttpObjectApi(
                        client, HttpAddress.parse(settings.objectApi), settings.objectApiTimeoutMs);
        config =
                new ConfigNode(
                        settings.configOptions(),
                        new MeteredObjectApi(httpApi, metrics),
                        loops,
                        process.control());
        config.start(settings.seedAddresses(), process::onConfig);
        config.register(metrics);
        probe = new BackendProbe(loops, client, HttpAddress.parse(settings.backend));
        ProcessMetrics.register(metrics);
        metrics.register("backend_reachable", (Gauge<Boolean>) probe::isReachable);
        metrics.register("running", (Gauge<Integer>) () -> process.load().running());
        metrics.register("queued", (Gauge<Integer>) () -> process.load().queued());
        metrics.register("accepting", (Gauge<Boolean>) () -> process.load().accepting());
        admin =
                new AdminServer(
                        loops, settings.listenHost, settings.adminPort, this::isReady, metrics);
        server =
                new PeerServer(
                        loops,
                        settings.listenHost,
                        settings.linkPort,
                        new CombinedPeerHandler(process, config),
                        metrics);
        warmUp = WarmUp.start(client, new HttpAddress(settings.listenHost, admin.port()));
        LOG.info(
                "{}",
                LogLine.event("listening")
                        .with("role", "side")
                        .with("name", settings.name)
                        .with("port", server.port())
                        .with("admin_port", admin.port()));
    }

    private boolean isReady() {
        return warmUp != null
                && warmUp.isDone()
                && probe.isReachable()
                && process.load().accepting();
    }

    @Override
    public boolean stop() {
        boolean completed = process.drain(settings.graceMs);
        server.close();
        admin.close();
        probe.close();
        config.close();
        process.close();
        client.close();
        traces.close();
        loops.close();
        return completed;
    }
}
