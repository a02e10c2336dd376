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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the link to one side process and hands its frames to the attempts that wait for them. */
final class SideLink implements PeerHandler, AutoCloseable {

    private final BackendServer server;
    private final Map<String, AttemptListener> attempts = new ConcurrentHashMap<>();
    private final ServerStats track;
    private final PeerClient client;
    private volatile boolean accepting;
    private volatile boolean greeted;
    private volatile boolean retired;
    private volatile long incarnation;
    private volatile long executorTimeMs;

    SideLink(NettyLoops loops, BackendServer server, PeerHandler config) {
        this.server = server;
        track = new ServerStats(server.name(), server.zone());
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

    /** Returns the incarnation of the side process that last opened the link. */
    long incarnation() {
        return incarnation;
    }

    /** Returns the latest time of the side process's own clock that is known here. */
    long executorTimeMs() {
        return executorTimeMs;
    }

    ServerStats track() {
        return track;
    }

    /**
     * Sends a frame for an attempt and registers who waits for its answer.
     *
     * @return false if there is no link, so that nothing was sent
     */
    boolean send(String requestId, Frame.Builder frame, AttemptListener listener) {
        PeerChannel channel = client.channel();
        if (channel == null || !greeted) {
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

    /** Sends a frame that no answer is awaited for; lost if there is no link. */
    void tell(Frame.Builder frame) {
        PeerChannel channel = client.channel();
        if (channel != null) {
            channel.send(frame);
        }
    }

    void forget(String requestId, AttemptListener listener) {
        attempts.remove(requestId, listener);
        closeIfUnused();
    }

    /** Takes no new attempts and closes the link when the open ones have ended. */
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
        // The side process speaks first; its load report opens this server for routing.
    }

    @Override
    public void onFrame(PeerChannel peer, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> greet(frame.getHello().getIncarnation());
            case LOAD_REPORT -> {
                LoadReport report = frame.getLoadReport();
                long nowNanos = System.nanoTime();
                report.getCachedPrefixesList().forEach(p -> track.onCached(p, nowNanos));
                executorTimeMs = report.getExecutorTimeMs();
                accepting = report.getAccepting();
            }
            case LEAVING -> accepting = false;
            case STARTED -> find(frame.getStarted().getRequestId()).onStarted();
            case HEAD -> find(frame.getHead().getRequestId()).onHead(frame.getHead());
            case CHUNK -> find(frame.getChunk().getRequestId()).onChunk(frame.getChunk());
            case FINISHED ->
                    find(frame.getFinished().getRequestId()).onFinished(frame.getFinished());
            case REFUSED -> {
                find(frame.getRefused().getRequestId()).onRefused(frame.getRefused());
            }
            default -> {
                // Other frames carry nothing that an entry needs.
            }
        }
    }

    private void greet(long newIncarnation) {
        if (incarnation != 0 && incarnation != newIncarnation) {
            sideGone();
        }
        incarnation = newIncarnation;
        greeted = true;
        List.copyOf(attempts.values()).forEach(AttemptListener::onLinkRestored);
    }

    private void sideGone() {
        List<AttemptListener> gone = new ArrayList<>(attempts.values());
        attempts.clear();
        gone.forEach(AttemptListener::onSideGone);
    }

    @Override
    public void onConnectionRefused() {
        sideGone();
    }

    private AttemptListener find(String requestId) {
        return attempts.getOrDefault(requestId, IgnoringListener.INSTANCE);
    }

    @Override
    public void onClose(PeerChannel peer) {
        accepting = false;
        greeted = false;
        List.copyOf(attempts.values()).forEach(AttemptListener::onLinkLost);
    }

    @Override
    public void close() {
        client.close();
        sideGone();
    }
}
