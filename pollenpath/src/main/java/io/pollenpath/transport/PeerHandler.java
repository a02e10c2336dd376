package io.pollenpath.transport;

import io.pollenpath.protocol.wire.Frame;

/** Receives the events and frames of peer links, on the event loop of the link. */
public interface PeerHandler {

    /**
     * Handles the opening of a link.
     *
     * @param peer the link
     */
    void onOpen(PeerChannel peer);

    /**
     * Handles a received frame.
     *
     * @param peer the link on which the frame was received
     * @param frame the frame
     */
    void onFrame(PeerChannel peer, Frame frame);

    /**
     * Handles the closing of a link.
     *
     * @param peer the link
     */
    void onClose(PeerChannel peer);

    /**
     * Handles a refused connection attempt: nothing listens at the address of the peer, so its
     * process has terminated.
     */
    default void onConnectionRefused() {}

    /**
     * Handles a link becoming writable again after its outbound buffer was full.
     *
     * @param peer the link
     */
    default void onWritable(PeerChannel peer) {}

    /**
     * Returns a handler that ignores all events and frames, for processes that run without one of
     * their components.
     *
     * @return the handler
     */
    static PeerHandler ignoring() {
        return new PeerHandler() {
            @Override
            public void onOpen(PeerChannel peer) {
                // Nothing in this process uses the link.
            }

            @Override
            public void onFrame(PeerChannel peer, Frame frame) {
                // Nothing in this process uses the link.
            }

            @Override
            public void onClose(PeerChannel peer) {
                // Nothing in this process uses the link.
            }
        };
    }
}
