package io.pollenpath.platform;

import io.pollenpath.coordination.serving.ActiveServers;
import io.pollenpath.state.serving.ServingConfig;
import io.pollenpath.state.serving.ServingView;
import io.pollenpath.util.LogLine;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Builds the view of an entry from objects in the store and publishes each new version. */
final class ServingViewPublisher {

    private static final Logger LOG = LoggerFactory.getLogger(ServingViewPublisher.class);
    private static final long MAX_LONG_POLL_MS = 1_500;

    private static final long TIMER_MARGIN_MS = 100;

    /** Delay that combines the changes of many servers that start or stop at the same time. */
    private static final long SERVERS_COALESCE_MS = 200;

    private final Consumer<ServingView> subscriber;
    private final ServerRegistrations registrations = new ServerRegistrations();
    private final ActiveServers activeServers;
    private final ScheduledExecutorService control;
    private final List<KindWatch> watches;
    private ServingView view = ServingView.EMPTY;

    ServingViewPublisher(
            StoreClient store,
            PlatformSettings settings,
            ScheduledExecutorService control,
            Consumer<ServingView> subscriber) {
        this.subscriber = subscriber;
        this.control = control;
        activeServers =
                new ActiveServers(settings.bounds().heartbeatMs(), settings.bounds().drainMs());
        // At most half the stable window, so that a stalled watch is detected before time limits
        // apply to this VM again.
        long longPollMs = Math.min(MAX_LONG_POLL_MS, settings.bounds().stableWindowMs() / 2);
        watches =
                List.of(
                        new KindWatch(
                                store, StoreKinds.CONFIG, longPollMs, 0, control, this::onConfig),
                        new KindWatch(
                                store,
                                StoreKinds.SERVERS,
                                longPollMs,
                                SERVERS_COALESCE_MS,
                                control,
                                this::onServers),
                        new KindWatch(
                                store,
                                StoreKinds.ENTRIES,
                                settings.quietWatchMs(),
                                0,
                                control,
                                this::onEntries));
    }

    /** Starts watching the store. */
    void start() {
        watches.forEach(KindWatch::start);
    }

    private void onConfig(Map<String, StoredObject> objects, StoreGap gap) {
        StoredObject newest = objects.get(StoreKinds.NEWEST_CONFIG);
        if (newest == null) {
            return;
        }
        try {
            ServingConfig config = ManifestDecoder.decode(newest.spec());
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

    private void onServers(Map<String, StoredObject> objects, StoreGap gap) {
        long nowNanos = System.nanoTime();
        Set<String> previousIds = view.serverIds();
        publish(
                view.withServers(
                        activeServers.update(
                                registrations.decode(objects),
                                gap.outage(),
                                gap.olderCopy(),
                                nowNanos)));
        activeServers
                .nextEndNanos()
                .ifPresent(
                        endNanos ->
                                control.schedule(
                                        this::publishServers,
                                        endNanos - nowNanos,
                                        TimeUnit.NANOSECONDS));
        if (gap.olderCopy()) {
            control.schedule(
                    this::publishServers,
                    ActiveServers.DEPARTED_MS + TIMER_MARGIN_MS,
                    TimeUnit.MILLISECONDS);
        }
        if (!view.serverIds().equals(previousIds)) {
            LOG.info(
                    "{}",
                    LogLine.event("servers_changed")
                            .with("known", objects.size())
                            .with("in_use", view.serverIds().size()));
        }
    }

    private void publishServers() {
        publish(view.withServers(activeServers.current(System.nanoTime())));
    }

    private void onEntries(Map<String, StoredObject> objects, StoreGap gap) {
        publish(view.withEntries(EntryDirectory.decode(objects)));
    }

    private void publish(ServingView newView) {
        view = newView;
        subscriber.accept(newView);
    }
}
