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
import io.pollenpath.transport.group.AgentServer;
import io.pollenpath.transport.group.EngineControl;
import io.pollenpath.transport.group.GroupAgent;
import io.pollenpath.transport.group.RankAgent;
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
    private static final long WATCH_WAIT_MS = 20_000;

    /** Agents start at the same time, and each one announces itself to all others. */
    private static final long WATCH_GATHER_MS = 1_000;

    private static final long LEAD_END_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long STOP_CHECK_MS = 20;
    private static final long STORE_TIMEOUT_MS = 1_000;
    private static final long SHAPE_PERIOD_MS = 60_000;
    private static final long SHAPE_RETRY_MS = 1_500;

    private final PlatformSettings settings;
    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient http = new HttpClient(loops);
    private final ScheduledExecutorService control = ControlThreads.start();
    private final GroupAgent agent;
    private final AgentDirectory directory;
    private final String service;

    /**
     * Starts the agent.
     *
     * @param file the settings file, which is read again when it changes
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
                                                "this VM has no engine; run the role beside one"));
        service = settings.engineService().orElse("");
        EngineControl engine = new EngineApi(http, engineAddress);
        LeaderElection candidacy = new LeaderElection(System.nanoTime());
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
                        settings.node() + "/" + UUID.randomUUID(),
                        settings.capacity());
        int port = settings.firstInternalPort() + 1;
        new AgentServer(loops, settings.ip(), port, new RankAgent(engine, control, candidacy));
        MetricRegistry metrics = new MetricRegistry();
        ProcessMetrics.register(metrics);
        new AdminServer(loops, settings.ip(), settings.firstInternalPort(), () -> true, metrics);
        directory.announce(
                settings.node(),
                new AgentAddress(new HttpAddress(settings.ip(), port), engineAddress));
        follow(store);
        new SettingsReload(file, settings, changed -> store.moveTo(changed.store())).start(control);
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
        readShape(store);
        new KindWatch(
                        store,
                        StoreKinds.AGENTS,
                        WATCH_WAIT_MS,
                        WATCH_GATHER_MS,
                        control,
                        this::onAgents)
                .start();
    }

    private void onAgents(Map<String, StoredObject> objects, long awayMs) {
        agent.setAgents(directory.decode(objects));
    }

    /** Reads the shape of the group now and then; it changes with the engines, not with routes. */
    private void readShape(StoreClient store) {
        store.read(StoreKinds.CONFIG, StoreKinds.NEWEST_CONFIG, STORE_TIMEOUT_MS)
                .thenApply(object -> Manifest.decode(object.path("Spec")).service(service))
                .whenCompleteAsync(
                        (spec, failure) -> {
                            if (failure == null) {
                                agent.setShape(spec.flatMap(ServiceSpec::group));
                            } else {
                                LOG.info(
                                        "{}",
                                        LogLine.event("shape_not_read").with("cause", failure));
                            }
                            boolean known = failure == null && spec.isPresent();
                            control.schedule(
                                    () -> readShape(store),
                                    known ? SHAPE_PERIOD_MS : SHAPE_RETRY_MS,
                                    TimeUnit.MILLISECONDS);
                        },
                        control);
    }

    @Override
    public boolean stop() {
        agent.stop();
        long startNanos = System.nanoTime();
        while (agent.isLeading() && System.nanoTime() - startNanos < LEAD_END_NANOS) {
            Pause.forMs(STOP_CHECK_MS);
        }
        boolean quiet = !agent.isLeading();
        control.shutdownNow();
        return quiet;
    }
}
