package io.pollenpath.transport;

import io.pollenpath.coordination.ConfigAgent;
import io.pollenpath.coordination.ConfigEntry;
import io.pollenpath.coordination.ConfigStore;
import io.pollenpath.protocol.ApiObject;
import io.pollenpath.protocol.ConfigFrames;
import io.pollenpath.protocol.ObjectApi;
import io.pollenpath.protocol.ObjectApiException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/**
 * Configuration store that calls the Object API and passes the results to the agent on the control
 * thread.
 */
final class ObjectApiConfigStore implements ConfigStore {

    private final ObjectApi api;
    private final Executor controlThread;
    private final Map<String, Listener> watches = new HashMap<>();
    private ConfigAgent<?> agent;

    ObjectApiConfigStore(ObjectApi api, Executor controlThread) {
        this.api = api;
        this.controlThread = controlThread;
    }

    void setAgent(ConfigAgent<?> newAgent) {
        agent = newAgent;
    }

    @Override
    public void list(String kind) {
        api.list(kind)
                .whenComplete(
                        (listing, failure) ->
                                controlThread.execute(
                                        () -> {
                                            if (failure == null) {
                                                onListed(kind, listing);
                                            } else {
                                                agent.onListFailed(System.nanoTime());
                                            }
                                        }));
    }

    private void onListed(String kind, ObjectApi.Listing listing) {
        List<ConfigEntry> entries = listing.objects().stream().map(ConfigFrames::toEntry).toList();
        agent.onListed(kind, entries, listing.revision(), System.nanoTime());
    }

    @Override
    public void watch(String kind, long revision) {
        close(watches.remove(kind));
        Listener listener = new Listener(kind);
        watches.put(kind, listener);
        listener.watch = api.watch(kind, revision, listener);
    }

    @Override
    public void stopWatches() {
        watches.values().forEach(ObjectApiConfigStore::close);
        watches.clear();
    }

    private static void close(Listener listener) {
        if (listener != null) {
            listener.watch.close();
        }
    }

    /**
     * Passes the events of a watch to the agent on the control thread. Events that arrive after the
     * watch was closed or replaced are ignored.
     */
    private final class Listener implements ObjectApi.WatchListener {
        private final String kind;
        private ObjectApi.Watch watch;

        Listener(String kind) {
            this.kind = kind;
        }

        private void execute(Runnable action) {
            controlThread.execute(
                    () -> {
                        if (watches.get(kind) == this) {
                            action.run();
                        }
                    });
        }

        @Override
        public void onChanged(ApiObject object) {
            ConfigEntry entry = ConfigFrames.toEntry(object);
            execute(() -> agent.onWatched(entry, System.nanoTime()));
        }

        @Override
        public void onDeleted(ApiObject object) {
            ConfigEntry deletion =
                    ConfigEntry.deletion(object.kind(), object.name(), object.version());
            execute(() -> agent.onWatched(deletion, System.nanoTime()));
        }

        @Override
        public void onBookmark(long revision) {
            execute(() -> agent.onBookmark(System.nanoTime()));
        }

        @Override
        public void onClosed(ObjectApiException cause) {
            execute(() -> agent.onWatchClosed(kind, System.nanoTime()));
        }
    }
}
