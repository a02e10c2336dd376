package io.pollenpath.transport;

import io.pollenpath.protocol.wire.Frame;

/** Receives the frames of peer links; called on the event loop of the link. */
public interface PeerHandler {

    /**
     * Takes a link that has opened.
     *
     * @param peer the link
     */
    void onOpen(PeerChannel peer);

    /**
     * Takes a frame.
     *
     * @param peer the link it came by
     * @param frame the frame
     */
    void onFrame(PeerChannel peer, Frame frame);

    /**
     * Takes a link that has closed.
     *
     * @param peer the link
     */
    void onClose(PeerChannel peer);

    /** Takes the news that nobody listens at the address of the peer: its process has ended. */
    default void onConnectionRefused() {}

    /**
     * Takes the news that a link which was full takes bytes again.
     *
     * @param peer the link
     */
    default void onWritable(PeerChannel peer) {}

    /**
     * Returns a handler that ignores everything, for parts that are left out of a set-up.
     *
     * @return the handler
     */
    static PeerHandler ignoring() {
        return new PeerHandler() {
            @Override
            public void onOpen(PeerChannel peer) {
                // Ignored by purpose.
            }

            @Override
            public void onFrame(PeerChannel peer, Frame frame) {
                // Ignored by purpose.
            }

            @Override
            public void onClose(PeerChannel peer) {
                // Ignored by purpose.
            }
        };
    }
}
