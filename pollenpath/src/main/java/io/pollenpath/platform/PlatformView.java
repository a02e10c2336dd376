package io.pollenpath.platform;

import io.pollenpath.coordination.serving.ActiveServers;
import io.pollenpath.state.serving.ServerInstance;
import io.pollenpath.state.serving.ServingConfig;
import io.pollenpath.state.serving.ServingView;
import io.pollenpath.util.LogLine;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Builds what an entry believes from the kinds of the store that concern it. */
final class PlatformView {

    private static final Logger LOG = LoggerFactory.getLogger(PlatformView.class);
    private static final long MAX_WAIT_MS = 1_500;
    private static final long GRACE_CHECK_MS = 2_100;
    private static final long SLOW_WAIT_MS = 20_000;

    /** Many servers may start or leave at the same time. */
    private static final long SERVERS_GATHER_MS = 200;

    private final Consumer<ServingView> publish;
    private final ServerEntries entries = new ServerEntries();
    private final ActiveServers roster = new ActiveServers();
    private final ScheduledExecutorService control;
    private final List<KindWatch> watches;
    private ServingView view = ServingView.EMPTY;

    PlatformView(
            StoreClient store,
            DeploymentBounds bounds,
            ScheduledExecutorService control,
            Consumer<ServingView> publish) {
        this.publish = publish;
        this.control = control;
        // A watch that went silent is noticed before the bounds bind this VM again.
        long waitMs = Math.min(MAX_WAIT_MS, bounds.stableWindowMs() / 2);
        watches =
                List.of(
                        new KindWatch(store, StoreKinds.CONFIG, waitMs, 0, control, this::onConfig),
                        new KindWatch(
                                store,
                                StoreKinds.SERVERS,
                                waitMs,
                                SERVERS_GATHER_MS,
                                control,
                                this::onServers),
                        new KindWatch(
                                store,
                                StoreKinds.ENTRIES,
                                SLOW_WAIT_MS,
                                0,
                                control,
                                this::onEntries));
    }

    void start() {
        watches.forEach(KindWatch::start);
    }

    private void onConfig(Map<String, StoredObject> objects, long awayMs) {
        StoredObject newest = objects.get(StoreKinds.NEWEST_CONFIG);
        if (newest == null) {
            return;
        }
        try {
            ServingConfig config = Manifest.decode(newest.spec());
            publish(view.withConfig(config));
            LOG.info(
                    "{}",
                    LogLine.event("config_in_force")
                            .with("version", config.version())
                            .with("revision", newest.revision()));
        } catch (IllegalArgumentException e) {
            LOG.error(
                    "{}",
                    LogLine.event("config_skipped")
                            .with("revision", newest.revision())
                            .with("cause", e.getMessage()));
        }
    }

    private void onServers(Map<String, StoredObject> objects, long awayMs) {
        long nowNanos = System.nanoTime();
        publish(view.withServers(roster.update(entries.decode(objects), awayMs, nowNanos)));
        if (roster.isInGracePeriod()) {
            control.schedule(this::endGrace, GRACE_CHECK_MS, TimeUnit.MILLISECONDS);
        }
        LOG.info(
                "{}",
                LogLine.event("servers_changed")
                        .with("known", objects.size())
                        .with("in_use", view.serverIds().size()));
    }

    private void endGrace() {
        boolean wasInGrace = roster.isInGracePeriod();
        List<ServerInstance> servers = roster.current(System.nanoTime());
        if (wasInGrace && !roster.isInGracePeriod()) {
            publish(view.withServers(servers));
        }
    }

    private void onEntries(Map<String, StoredObject> objects, long awayMs) {
        publish(view.withLiveEntries(Math.max(1, objects.size())));
    }

    private void publish(ServingView newer) {
        view = newer;
        publish.accept(newer);
    }
}
