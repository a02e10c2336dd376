package io.pollenpath.transport.entry;

import io.pollenpath.protocol.wire.Chunk;
import io.pollenpath.protocol.wire.Finished;
import io.pollenpath.protocol.wire.Head;
import io.pollenpath.protocol.wire.Refused;

/** Receives the frames and link events of one attempt; called on the event loop of its link. */
interface AttemptListener {

    void onStarted();

    void onHead(Head head);

    void onChunk(Chunk chunk);

    void onFinished(Finished finished);

    void onRefused(Refused refused);

    /**
     * Is called when the link is lost. It may be restored; until then it is unknown whether the
     * attempt ran.
     */
    void onLinkLost();

    /** Is called when the link is open again to the same incarnation of the side process. */
    void onLinkRestored();

    /** Is called when the side process has terminated and its retained answers are lost. */
    void onSideTerminated();

    /** Is called when another reader in this process has taken over the same answer. */
    void onReplaced();
}
