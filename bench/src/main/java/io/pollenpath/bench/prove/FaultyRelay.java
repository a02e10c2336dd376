package io.pollenpath.bench.prove;

import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.transport.PeerChannel;
import io.pollenpath.transport.PeerClient;
import io.pollenpath.transport.PeerHandler;
import io.pollenpath.transport.PeerServer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Relays frames between entries and a side process. It injects faults into the frames of answers
 * that come from the side process: it duplicates frames, delays and reorders them, and closes
 * links.
 */
final class FaultyRelay implements PeerHandler, AutoCloseable {

    private static final int MAX_DELAYED_FRAMES = 4;
    private static final int MAX_DELAY_MS = 5;

    /**
     * The fractions of the answer frames from the side process into which a fault is injected.
     *
     * @param duplicatedFraction the fraction of frames that are sent twice, 0 to 1
     * @param delayedFraction the fraction of frames that are held back and sent after later ones, 0
     *     to 1
     * @param disconnectFraction the fraction of frames at which the link is closed, 0 to 1
     */
    record Faults(double duplicatedFraction, double delayedFraction, double disconnectFraction) {

        /** Injects no faults. */
        static final Faults NONE = new Faults(0, 0, 0);
    }

    private final NettyLoops loops;
    private final HttpAddress side;
    private final Faults faults;
    private final Random random;
    private final Map<PeerChannel, Link> links = new ConcurrentHashMap<>();
    private final PeerServer server;

    FaultyRelay(NettyLoops loops, int sidePort, Faults faults, long seed) {
        this.loops = loops;
        this.faults = faults;
        side = new HttpAddress("127.0.0.1", sidePort);
        random = new Random(seed);
        server = new PeerServer(loops, "127.0.0.1", 0, this);
    }

    int port() {
        return server.port();
    }

    private synchronized boolean randomlyTrue(double probability) {
        return random.nextDouble() < probability;
    }

    private synchronized int randomIndex(int bound) {
        return random.nextInt(bound);
    }

    @Override
    public void onOpen(PeerChannel entry) {
        links.put(entry, new Link(entry));
    }

    @Override
    public void onFrame(PeerChannel entry, Frame frame) {
        links.get(entry).sendToSide(frame);
    }

    @Override
    public void onClose(PeerChannel entry) {
        Link link = links.remove(entry);
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void close() {
        server.close();
        links.keySet().forEach(PeerChannel::close);
        links.values().forEach(Link::close);
    }

    private final class Link implements PeerHandler {
        private final PeerChannel entry;
        private final PeerClient client;
        private final Deque<Frame> unsentFrames = new ArrayDeque<>();
        private final List<Frame> delayedFrames = new ArrayList<>();
        private PeerChannel sideChannel;

        Link(PeerChannel entry) {
            this.entry = entry;
            client = new PeerClient(loops, side, this);
        }

        synchronized void sendToSide(Frame frame) {
            if (sideChannel == null) {
                unsentFrames.add(frame);
            } else {
                sideChannel.send(frame.toBuilder());
            }
        }

        @Override
        public synchronized void onOpen(PeerChannel peer) {
            sideChannel = peer;
            unsentFrames.forEach(frame -> peer.send(frame.toBuilder()));
            unsentFrames.clear();
        }

        @Override
        public synchronized void onFrame(PeerChannel peer, Frame frame) {
            boolean isAnswerFrame = frame.hasChunk() || frame.hasHead() || frame.hasFinished();
            if (!isAnswerFrame) {
                entry.send(frame.toBuilder());
                return;
            }
            if (randomlyTrue(faults.disconnectFraction())) {
                entry.close();
                return;
            }
            if (randomlyTrue(faults.delayedFraction())
                    && delayedFrames.size() < MAX_DELAYED_FRAMES) {
                delayedFrames.add(frame);
                loops.group()
                        .schedule(this::sendDelayedFrames, MAX_DELAY_MS, TimeUnit.MILLISECONDS);
                return;
            }
            entry.send(frame.toBuilder());
            if (randomlyTrue(faults.duplicatedFraction())) {
                entry.send(frame.toBuilder());
            }
            if (randomlyTrue(faults.delayedFraction())) {
                sendDelayedFrames();
            }
        }

        private synchronized void sendDelayedFrames() {
            while (!delayedFrames.isEmpty()) {
                entry.send(delayedFrames.remove(randomIndex(delayedFrames.size())).toBuilder());
            }
        }

        @Override
        public void onClose(PeerChannel peer) {
            entry.close();
            client.close();
        }

        @Override
        public void onConnectionRefused() {
            entry.close();
            client.close();
        }

        void close() {
            client.close();
        }
    }
}
