package io.pollenpath.transport;

import io.netty.channel.embedded.EmbeddedChannel;
import io.pollenpath.protocol.wire.Frame;
import java.util.ArrayList;
import java.util.List;

/** Makes peer links that end in the test. */
public final class TestPeers {

    private TestPeers() {}

    /** A link that keeps the frames sent on it. */
    public static final class RecordingLink {
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final PeerChannel peer = new PeerChannel(channel);

        public PeerChannel peer() {
            return peer;
        }

        /** Returns the frames sent since the last call. */
        public List<Frame> drainFrames() {
            List<Frame> frames = new ArrayList<>();
            for (Frame f = channel.readOutbound(); f != null; f = channel.readOutbound()) {
                frames.add(f);
            }
            return frames;
        }
    }
}
