package io.pollenpath.platform;

import com.codahale.metrics.MetricRegistry;
import io.pollenpath.cli.Role;
import io.pollenpath.coordination.group.Candidacy;
import io.pollenpath.state.serving.ServiceSpec;
import io.pollenpath.transport.AdminServer;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.ProcessMetrics;
import io.pollenpath.transport.group.AgentAddress;
import io.pollenpath.transport.group.AgentServer;
import io.pollenpath.transport.group.EngineControl;
import io.pollenpath.transport.group.GroupAgent;
import io.pollenpath.transport.group.RankAgent;
import io.pollenpath.util.LogLine;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the agent beside an engine on the platform. */
final class PlatformSide implements Role {

    private static final Logger LOG = LoggerFactory.getLogger(PlatformSide.class);
    private static final long WATCH_WAIT_MS = 20_000;
    private static final String CONFIG = "config";
    private static final String NEWEST_CONFIG = "main";

    private final PlatformSettings settings;
    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final ScheduledExecutorService control =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "control");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final GroupAgent agent;
    private final AgentDirectory directory;
    private final String service;

    /**
     * Starts the agent.
     *
     * @param settings the settings of the process
     * @throws IllegalArgumentException if the VM has no engine
     * @throws IllegalStateException if an address can't be bound
     */
    PlatformSide(PlatformSettings settings) {
        this.settings = settings;
        HttpAddress engineAddress =
                settings.engineAddress()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "this VM has no engine; run the role beside one"));
        service = settings.engineService().orElse("");
        EngineControl engine = new EngineApi(http, engineAddress);
        Candidacy candidacy = new Candidacy(System.nanoTime());
        StoreClient store = new StoreClient(http, settings.store());
        directory = new AgentDirectory(store, control, service);
        agent =
                new GroupAgent(
                        engine,
                        candidacy,
                        new StoreLease(store),
                        control,
                        http,
                        this::engineOf,
                        settings.node() + "/" + UUID.randomUUID());
        int port = settings.firstInternalPort() + 1;
        new AgentServer(loops, settings.ip(), port, new RankAgent(engine, control, candidacy));
        MetricRegistry metrics = new MetricRegistry();
        ProcessMetrics.register(metrics);
        new AdminServer(loops, settings.ip(), settings.firstInternalPort(), () -> true, metrics);
        directory.announce(
                settings.node(),
                new AgentAddress(new HttpAddress(settings.ip(), port), engineAddress));
        follow(store);
        agent.start();
        LOG.info(
                "{}",
                LogLine.event("started")
                        .with("node", settings.node())
                        .with("engine", engineAddress)
                        .with("service", service));
    }

    private Optional<EngineControl> engineOf(AgentAddress address) {
        return settings.bounds().fencedOrders()
                ? Optional.of(new EngineApi(http, address.engine()))
                : Optional.empty();
    }

    private void follow(StoreClient store) {
        new KindWatch(store, CONFIG, WATCH_WAIT_MS, control, this::onConfig).start();
        new KindWatch(store, AgentDirectory.KIND, WATCH_WAIT_MS, control, this::onAgents).start();
    }

    private void onAgents(Map<String, StoredObject> objects, long awayMs) {
        agent.setAgents(directory.decode(objects));
    }

    private void onConfig(Map<String, StoredObject> objects, long awayMs) {
        StoredObject newest = objects.get(NEWEST_CONFIG);
        if (newest == null) {
            return;
        }
        try {
            Optional<ServiceSpec> spec = Manifest.decode(newest.spec()).service(service);
            agent.setShape(spec.flatMap(ServiceSpec::group));
        } catch (IllegalArgumentException e) {
            LOG.error(
                    "{}",
                    LogLine.event("config_skipped")
                            .with("revision", newest.revision())
                            .with("cause", e.getMessage()));
        }
    }

    @Override
    public boolean stop() {
        control.shutdownNow();
        return true;
    }
}
