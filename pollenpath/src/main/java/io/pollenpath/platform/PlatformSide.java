package io.pollenpath.platform;

import com.codahale.metrics.MetricRegistry;
import io.pollenpath.cli.Role;
import io.pollenpath.coordination.group.LeaderElection;
import io.pollenpath.state.serving.ServiceSpec;
import io.pollenpath.transport.AdminServer;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.ProcessMetrics;
import io.pollenpath.transport.group.AgentAddress;
import io.pollenpath.transport.group.AgentScheduler;
import io.pollenpath.transport.group.AgentServer;
import io.pollenpath.transport.group.EngineControl;
import io.pollenpath.transport.group.GroupAgent;
import io.pollenpath.transport.group.HttpAgentTransport;
import io.pollenpath.transport.group.ObservedEngine;
import io.pollenpath.transport.group.RankAgent;
import io.pollenpath.transport.serving.EntryNotifier;
import io.pollenpath.util.LogLine;
import io.pollenpath.util.Pause;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the agent beside an engine on the platform. */
final class PlatformSide implements Role {

    private static final Logger LOG = LoggerFactory.getLogger(PlatformSide.class);

    /**
     * Delay that combines the registrations of many agents into few calls: agents start at the same
     * time, and each one registers and watches all others.
     */
    private static final long COALESCE_MS = 1_000;

    private static final long STEP_DOWN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long STEP_DOWN_POLL_MS = 20;
    private static final long STORE_TIMEOUT_MS = 1_000;
    private static final long SHAPE_REFRESH_MS = 60_000;
    private static final long SHAPE_RETRY_MS = 1_500;

    /** A leader that is cut off waits for this many connections to each agent and each engine. */
    private static final int MAX_CONNECTIONS_PER_SERVER = 4;

    private final PlatformSettings settings;
    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = HttpClient.bounded(loops, MAX_CONNECTIONS_PER_SERVER);
    private final ScheduledExecutorService control = ControlThreads.newExecutor();
    private final GroupAgent agent;
    private final AgentDirectory directory;
    private final String service;

    /**
     * Starts the agent.
     *
     * @param file the settings file, which is reloaded when it changes
     * @param settings the settings of the process
     * @throws IllegalArgumentException if the VM has no engine
     * @throws IllegalStateException if an address can't be bound
     */
    PlatformSide(Path file, PlatformSettings settings) {
        this.settings = settings;
        HttpAddress engineAddress =
                settings.engineAddress()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "the settings file names no engine on this VM; run this role on a VM with an engine"));
        service = settings.engineService().orElse("");
        LeaderElection election = new LeaderElection(System.nanoTime());
        StoreClient store = new StoreClient(http, settings.store());
        SlowdownNotifier slowdowns =
                new SlowdownNotifier(store, new EntryNotifier(http), engineAddress, control);
        EngineControl engine =
                new ObservedEngine(EngineApi.local(http, engineAddress), slowdowns::onStatus);
        directory = new AgentDirectory(store, control, service);
        AgentScheduler scheduler = AgentScheduler.of(control);
        agent =
                new GroupAgent(
                        engine,
                        election,
                        new StoreLease(store),
                        scheduler,
                        new HttpAgentTransport(http),
                        this::fencedEngine,
                        settings.node() + "/" + UUID.randomUUID(),
                        settings.capacity());
        int port = settings.firstInternalPort() + 1;
        new AgentServer(loops, settings.ip(), port, new RankAgent(engine, scheduler, election));
        MetricRegistry metrics = new MetricRegistry();
        ProcessMetrics.register(metrics);
        new AdminServer(loops, settings.ip(), settings.firstInternalPort(), () -> true, metrics);
        directory.register(
                settings.node(),
                new AgentAddress(new HttpAddress(settings.ip(), port), engineAddress));
        watchStore(store);
        new SettingsReload(file, settings, newSettings -> store.setAddress(newSettings.store()))
                .start(control);
        agent.start();
        LOG.info(
                "{}",
                LogLine.event("started")
                        .with("node", settings.node())
                        .with("engine", engineAddress)
                        .with("service", service));
    }

    /** Returns direct access to another engine if engines reject outdated fencing tokens. */
    private Optional<EngineControl> fencedEngine(AgentAddress address) {
        return settings.bounds().requireFencing()
                ? Optional.of(EngineApi.remote(http, address.engine()))
                : Optional.empty();
    }

    private void watchStore(StoreClient store) {
        readShape(store);
        new KindWatch(
                        store,
                        StoreKinds.AGENTS,
                        settings.quietWatchMs(),
                        COALESCE_MS,
                        control,
                        this::onAgents)
                .start();
    }

    private void onAgents(Map<String, StoredObject> objects, StoreGap gap) {
        agent.setAgents(directory.decode(objects));
    }

    /**
     * Reads the shape of the rank group from the manifest, and again at a long interval, because
     * the shape changes only with the engines and not with the routes.
     */
    private void readShape(StoreClient store) {
        store.read(StoreKinds.CONFIG, StoreKinds.NEWEST_CONFIG, STORE_TIMEOUT_MS)
                .thenApply(object -> ManifestDecoder.decode(object.path("Spec")).service(service))
                .whenCompleteAsync(
                        (spec, failure) -> {
                            if (failure == null) {
                                agent.setShape(spec.flatMap(ServiceSpec::group));
                            } else {
                                LOG.info(
                                        "{}",
                                        LogLine.event("shape_not_read").with("cause", failure));
                            }
                            boolean found = failure == null && spec.isPresent();
                            control.schedule(
                                    () -> readShape(store),
                                    found ? SHAPE_REFRESH_MS : SHAPE_RETRY_MS,
                                    TimeUnit.MILLISECONDS);
                        },
                        control);
    }

    @Override
    public boolean stop() {
        agent.stop();
        long startNanos = System.nanoTime();
        while (agent.isLeading() && System.nanoTime() - startNanos < STEP_DOWN_TIMEOUT_NANOS) {
            Pause.forMs(STEP_DOWN_POLL_MS);
        }
        boolean steppedDown = !agent.isLeading();
        control.shutdownNow();
        return steppedDown;
    }
}
