package io.pollenpath.transport.entry;

import io.pollenpath.protocol.wire.Chunk;
import io.pollenpath.protocol.wire.Finished;
import io.pollenpath.protocol.wire.Head;
import io.pollenpath.protocol.wire.Refused;

/**
 * Ignores the frames of attempts without a registered listener, such as late frames of an attempt
 * that was cancelled or has ended.
 */
enum IgnoringListener implements AttemptListener {
    INSTANCE;

    @Override
    public void onStarted() {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onHead(Head head) {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onChunk(Chunk chunk) {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onFinished(Finished finished) {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onRefused(Refused refused) {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onLinkLost() {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onLinkRestored() {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onSideTerminated() {
        // The attempt has ended; there is no caller to notify.
    }

    @Override
    public void onReplaced() {
        // The attempt has ended; there is no caller to notify.
    }
}
