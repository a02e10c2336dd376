package io.pollenpath.transport;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes of all answers that a client collects in memory at the same time. Small answers are
 * always collected. Used by any thread.
 */
final class CollectedBytes {

    /** Most answers to calls between processes are smaller. */
    static final int SMALL_BYTES = 65_536;

    private final long maxBytes;
    private final AtomicLong bytes = new AtomicLong();

    /**
     * Creates a count of 0.
     *
     * @param maxBytes the most that may be collected, beside small answers, in bytes
     */
    CollectedBytes(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Counts a piece of an answer.
     *
     * @param collected the bytes of this answer before the piece
     * @param piece the bytes of the piece
     * @return whether there is room for it; it counts in any case
     */
    boolean add(long collected, long piece) {
        long all = bytes.addAndGet(piece);
        return collected + piece <= SMALL_BYTES || all <= maxBytes;
    }

    /** Gives back the bytes of an answer that is no longer collected. */
    void remove(long collected) {
        bytes.addAndGet(-collected);
    }

    /** Returns the bytes of all answers that are collected. */
    long sum() {
        return bytes.get();
    }
}
