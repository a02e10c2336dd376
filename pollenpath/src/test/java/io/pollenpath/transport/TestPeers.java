package io.pollenpath.transport;

import io.netty.channel.embedded.EmbeddedChannel;
import io.pollenpath.protocol.wire.Frame;
import java.util.ArrayList;
import java.util.List;

/** Peer links without a connection, for tests. */
public final class TestPeers {

    private TestPeers() {}

    /** A link that records the frames sent on it. */
    public static final class RecordingLink {
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final PeerChannel peer = new PeerChannel(channel);

        public PeerChannel peer() {
            return peer;
        }

        /** Returns the frames sent since the last call. */
        public List<Frame> drainFrames() {
            List<Frame> frames = new ArrayList<>();
            for (Frame frame = channel.readOutbound();
                    frame != null;
                    frame = channel.readOutbound()) {
                frames.add(frame);
            }
            return frames;
        }
    }
}
