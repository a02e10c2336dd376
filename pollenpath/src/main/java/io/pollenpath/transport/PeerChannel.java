package io.pollenpath.transport;

import io.netty.channel.Channel;
import io.pollenpath.protocol.wire.Frame;

/** One open or closed link to a peer. */
public final class PeerChannel {

    private final Channel channel;

    PeerChannel(Channel channel) {
        this.channel = channel;
    }

    /**
     * Sends a frame. The frame is lost if the link closes before it is transmitted.
     *
     * @param frame the frame, whose version this method sets, not null
     */
    public void send(Frame.Builder frame) {
        channel.writeAndFlush(frame.setVersion(PeerPipeline.VERSION).build());
    }

    /**
     * Returns whether the link is open.
     *
     * @return true if the link is open
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Returns whether the outbound buffer of the link is below its high-water mark.
     *
     * @return false while the peer reads more slowly than this process writes
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Closes the link. */
    public void close() {
        channel.close();
    }

    @Override
    public String toString() {
        return String.valueOf(channel.remoteAddress());
    }
}
