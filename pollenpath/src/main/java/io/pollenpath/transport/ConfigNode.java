package io.pollenpath.transport;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.pollenpath.coordination.ConfigAgent;
import io.pollenpath.coordination.ConfigAgentOptions;
import io.pollenpath.coordination.MergeRule;
import io.pollenpath.protocol.ConfigFrames;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.state.ConfigSnapshot;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connects the configuration agent of a process to its peer links and to the Object API. */
public final class ConfigNode implements PeerHandler, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigNode.class);
    private static final long TICK_MS = 100;

    private final ConfigAgentOptions options;
    private final NettyLoops loops;
    private final ControlThread control;
    private final ObjectApiConfigStore store;
    private final ConfigAgent<PeerChannel> agent;
    private final List<PeerClient> seedClients = new ArrayList<>();
    private Consumer<ConfigSnapshot> onSnapshot = snapshot -> {};
    private ScheduledFuture<?> tickTask;
    private boolean published;
    private boolean watching;
    private boolean storeBehind;
    private volatile long revision;
    private volatile long confirmedAgeMs = -1;
    private volatile boolean provisional = true;

    /**
     * Creates a node; it does nothing until {@link #start} is called.
     *
     * @param options the settings, not null
     * @param api the Object API, not null
     * @param loops the event loops that run the timers and the links to seeds, not null
     * @param control the thread that owns the configuration agent, not null
     */
    public ConfigNode(
            ConfigAgentOptions options, ObjectApi api, NettyLoops loops, ControlThread control) {
        this.options = options;
        this.loops = loops;
        this.control = control;
        store = new ObjectApiConfigStore(api, control::execute);
        agent =
                new ConfigAgent<>(
                        options,
                        MergeRule.MAXIMUM_VERSION,
                        store,
                        (peer, message) -> peer.send(ConfigFrames.toFrame(message)),
                        this::publish,
                        new SplittableRandom(),
                        System.nanoTime());
        store.setAgent(agent);
    }

    /**
     * Starts to replicate the configuration.
     *
     * @param seedAddresses peers to ask for the configuration until a snapshot contains a backend
     *     server, not null
     * @param listener receives each new snapshot on the control thread, not null
     */
    public void start(List<HttpAddress> seedAddresses, Consumer<ConfigSnapshot> listener) {
        onSnapshot = listener;
        for (HttpAddress address : seedAddresses) {
            seedClients.add(new PeerClient(loops, address, this));
        }
        tickTask =
                RepeatedTask.start(
                        loops.group(),
                        TICK_MS,
                        () -> control.execute(this::tick),
                        ConfigNode::logFailure);
    }

    /**
     * Registers the configuration gauges.
     *
     * @param metrics the registry, not null
     */
    public void register(MetricRegistry metrics) {
        metrics.register("config_revision", (Gauge<Long>) () -> revision);
        metrics.register("config_provisional", (Gauge<Integer>) () -> provisional ? 1 : 0);
        metrics.register("config_confirmed_age_ms", (Gauge<Long>) () -> confirmedAgeMs);
        metrics.register("config_watching", (Gauge<Integer>) () -> watching ? 1 : 0);
        metrics.register("config_store_behind", (Gauge<Integer>) () -> storeBehind ? 1 : 0);
    }

    private static void logFailure(Throwable cause) {
        LOG.error("{}", LogLine.event("config_tick_failed").with("cause", cause));
    }

    private void tick() {
        long nowNanos = System.nanoTime();
        agent.tick(nowNanos);
        long ageMs = agent.confirmedAgeMs(nowNanos);
        confirmedAgeMs = ageMs == Long.MAX_VALUE ? -1 : ageMs;
        if (!published && agent.isComplete()) {
            publish();
        }
        logStateChanges();
    }

    private void logStateChanges() {
        if (agent.isWatching() != watching) {
            watching = agent.isWatching();
            LOG.info("{}", LogLine.event("config_watch").with("watching", watching));
        }
        if (agent.isStoreBehind() != storeBehind) {
            storeBehind = agent.isStoreBehind();
            LOG.warn("{}", LogLine.event("config_store_behind").with("behind", storeBehind));
        }
        if (published && agent.isProvisional() != provisional) {
            provisional = agent.isProvisional();
            LOG.info("{}", LogLine.event("config_source").with("provisional", provisional));
        }
    }

    private void publish() {
        if (!agent.isComplete()) {
            return;
        }
        published = true;
        ConfigSnapshot snapshot = ConfigSnapshots.of(agent.replica());
        revision = snapshot.revision();
        agent.setZoneSize(serversInZone(snapshot));
        if (!snapshot.servers().isEmpty()) {
            seedClients.forEach(PeerClient::close);
            seedClients.clear();
        }
        LOG.info(
                "{}",
                LogLine.event("config_in_force")
                        .with("revision", revision)
                        .with("provisional", agent.isProvisional()));
        onSnapshot.accept(snapshot);
    }

    private int serversInZone(ConfigSnapshot snapshot) {
        return (int)
                snapshot.servers().stream().filter(s -> s.zone().equals(options.zone())).count();
    }

    @Override
    public void onOpen(PeerChannel peer) {
        control.execute(() -> agent.peerOpened(peer));
    }

    @Override
    public void onFrame(PeerChannel peer, Frame frame) {
        ConfigFrames.fromFrame(frame)
                .ifPresent(
                        message ->
                                control.execute(
                                        () -> agent.onMessage(peer, message, System.nanoTime())));
    }

    @Override
    public void onClose(PeerChannel peer) {
        control.execute(() -> agent.peerClosed(peer));
    }

    @Override
    public void close() {
        if (tickTask != null) {
            tickTask.cancel(false);
        }
        control.execute(
                () -> {
                    store.stopWatches();
                    seedClients.forEach(PeerClient::close);
                });
    }
}
