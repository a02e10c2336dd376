package io.pollenpath.transport.entry;

import io.pollenpath.coordination.routing.ServerStats;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.LoadReport;
import io.pollenpath.state.BackendServer;
import io.pollenpath.transport.CombinedPeerHandler;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.PeerChannel;
import io.pollenpath.transport.PeerClient;
import io.pollenpath.transport.PeerHandler;
import io.pollenpath.util.GuardedSteps;
import io.pollenpath.util.LogLine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The link to one side process; dispatches its frames to the listeners of the open attempts. */
final class SideLink implements PeerHandler, AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(SideLink.class);

    private final BackendServer server;
    private final Map<String, AttemptListener> attempts = new ConcurrentHashMap<>();
    private final ServerStats stats;
    private final PeerClient client;
    private volatile boolean accepting;
    private volatile boolean helloReceived;
    private volatile boolean retired;
    private volatile long incarnation;
    private volatile long executorTimeMs;

    SideLink(NettyLoops loops, BackendServer server, PeerHandler config) {
        this.server = server;
        stats = new ServerStats(server.name(), server.zone());
        HttpAddress address = new HttpAddress(server.sideHost(), server.sidePort());
        client = new PeerClient(loops, address, new CombinedPeerHandler(this, config));
    }

    BackendServer server() {
        return server;
    }

    boolean isAccepting() {
        return accepting && !retired && client.channel() != null;
    }

    boolean isOpen() {
        return client.channel() != null;
    }

    /**
     * Returns the incarnation of the side process that last opened the link, 0 before the first.
     */
    long incarnation() {
        return incarnation;
    }

    /** Returns the last reported time of the side process's own clock, in milliseconds. */
    long executorTimeMs() {
        return executorTimeMs;
    }

    ServerStats stats() {
        return stats;
    }

    /**
     * Sends a frame for an attempt and registers the listener for its answer.
     *
     * @return false if the link is not open and nothing was sent
     */
    boolean send(String requestId, Frame.Builder frame, AttemptListener listener) {
        PeerChannel channel = client.channel();
        if (channel == null || !helloReceived) {
            return false;
        }
        AttemptListener replaced = attempts.put(requestId, listener);
        if (replaced != null && replaced != listener) {
            replaced.onReplaced();
        }
        channel.send(frame);
        if (client.channel() != channel) {
            listener.onLinkLost();
        }
        return true;
    }

    /** Sends a frame without registering a listener; drops it if the link is not open. */
    void sendUnregistered(Frame.Builder frame) {
        PeerChannel channel = client.channel();
        if (channel != null) {
            channel.send(frame);
        }
    }

    void unregister(String requestId, AttemptListener listener) {
        attempts.remove(requestId, listener);
        closeIfUnused();
    }

    /** Accepts no new attempts and closes the link when the open ones have ended. */
    void retire() {
        retired = true;
        closeIfUnused();
    }

    private void closeIfUnused() {
        if (retired && attempts.isEmpty()) {
            client.close();
        }
    }

    @Override
    public void onOpen(PeerChannel peer) {
        // The side process sends the first frame; its load report enables routing to this server.
    }

    @Override
    public void onFrame(PeerChannel peer, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> onHello(frame.getHello().getIncarnation());
            case LOAD_REPORT -> {
                LoadReport report = frame.getLoadReport();
                long nowNanos = System.nanoTime();
                report.getCachedPrefixesList().forEach(p -> stats.onCached(p, nowNanos));
                executorTimeMs = report.getExecutorTimeMs();
                accepting = report.getAccepting();
            }
            case LEAVING -> accepting = false;
            case STARTED -> listenerOf(frame.getStarted().getRequestId()).onStarted();
            case HEAD -> listenerOf(frame.getHead().getRequestId()).onHead(frame.getHead());
            case CHUNK -> listenerOf(frame.getChunk().getRequestId()).onChunk(frame.getChunk());
            case FINISHED ->
                    listenerOf(frame.getFinished().getRequestId()).onFinished(frame.getFinished());
            case REFUSED -> {
                listenerOf(frame.getRefused().getRequestId()).onRefused(frame.getRefused());
            }
            default -> {
                // An entry does not use the other frames.
            }
        }
    }

    private void onHello(long newIncarnation) {
        if (incarnation != 0 && incarnation != newIncarnation) {
            notifySideTerminated();
        }
        incarnation = newIncarnation;
        helloReceived = true;
        notifyAll(attempts.values(), AttemptListener::onLinkRestored);
    }

    private void notifySideTerminated() {
        List<AttemptListener> orphaned = new ArrayList<>(attempts.values());
        attempts.clear();
        notifyAll(orphaned, AttemptListener::onSideTerminated);
    }

    /** Notifies all listeners, also behind one that fails. */
    private static void notifyAll(
            Collection<AttemptListener> listeners, Consumer<AttemptListener> call) {
        GuardedSteps.forEach(
                listeners,
                call,
                cause -> LOG.error("{}", LogLine.event("listener_failed").with("cause", cause)));
    }

    @Override
    public void onConnectionRefused() {
        notifySideTerminated();
    }

    private AttemptListener listenerOf(String requestId) {
        return attempts.getOrDefault(requestId, IgnoringListener.INSTANCE);
    }

    @Override
    public void onClose(PeerChannel peer) {
        accepting = false;
        helloReceived = false;
        notifyAll(attempts.values(), AttemptListener::onLinkLost);
    }

    @Override
    public void close() {
        client.close();
        notifySideTerminated();
    }
}
