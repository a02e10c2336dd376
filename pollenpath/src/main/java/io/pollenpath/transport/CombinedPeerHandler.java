package io.pollenpath.transport;

import io.pollenpath.protocol.wire.Frame;
import java.util.List;

/** Forwards every event of a peer link to several handlers in a fixed order. */
public final class CombinedPeerHandler implements PeerHandler {

    private final List<PeerHandler> handlers;

    /**
     * Creates a handler that forwards to others.
     *
     * @param handlers the handlers, in the order in which they are called, not null
     */
    public CombinedPeerHandler(PeerHandler... handlers) {
        this.handlers = List.of(handlers);
    }

    @Override
    public void onOpen(PeerChannel peer) {
        handlers.forEach(handler -> handler.onOpen(peer));
    }

    @Override
    public void onFrame(PeerChannel peer, Frame frame) {
        handlers.forEach(handler -> handler.onFrame(peer, frame));
    }

    @Override
    public void onClose(PeerChannel peer) {
        handlers.forEach(handler -> handler.onClose(peer));
    }

    @Override
    public void onWritable(PeerChannel peer) {
        handlers.forEach(handler -> handler.onWritable(peer));
    }
}
