package io.pollenpath.coordination;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the pieces of one answer, so that it can be sent within a window and resumed.
 *
 * <p>Acknowledging a piece moves the window but keeps the piece: a reader may be lost after it took
 * a piece and before its caller got it. Acknowledged pieces go when {@link #releaseAcknowledged} is
 * called, which an owner does when memory is short.
 */
public final class AnswerBuffer {

    /** What a kept piece costs beyond its bytes, in bytes. */
    public static final int PIECE_OVERHEAD_BYTES = 64;

    private final List<byte[]> pieces = new ArrayList<>();
    private int releasedSlots;
    private int firstIndex;
    private int acknowledgedIndex;
    private int sentIndex;
    private int nextIndex;
    private long bytes;
    private long acknowledgedBytes;
    private long inFlightBytes;
    private boolean finished;

    /**
     * Holds a piece that is to be sent.
     *
     * @param index its index, from 0
     * @param data its bytes
     */
    public record Piece(int index, byte[] data) {}

    /**
     * Returns what one piece costs in every bound on bytes.
     *
     * @param piece the piece, not null
     * @return the cost, in bytes
     */
    public static int costBytes(byte[] piece) {
        return piece.length + PIECE_OVERHEAD_BYTES;
    }

    /**
     * Adds the next piece.
     *
     * @param piece the bytes, not null
     * @return the index of the piece, from 0
     * @throws IllegalStateException if the answer is finished
     */
    public int append(byte[] piece) {
        if (finished) {
            throw new IllegalStateException("the answer is finished; drop the late piece");
        }
        pieces.add(piece);
        bytes += costBytes(piece);
        return nextIndex++;
    }

    /** Marks the answer as whole. */
    public void finish() {
        finished = true;
    }

    /**
     * Tells whether the answer is whole.
     *
     * @return true if no piece will follow
     */
    public boolean isFinished() {
        return finished;
    }

    /**
     * Starts sending again from a piece; everything below it counts as acknowledged.
     *
     * @param index the first piece that is wanted
     * @throws IllegalArgumentException if the piece has been released or does not exist yet
     */
    public void rewind(int index) {
        List<byte[]> wanted = from(index);
        sentIndex = index;
        acknowledgedIndex = index;
        inFlightBytes = 0;
        acknowledgedBytes = bytes - wanted.stream().mapToLong(AnswerBuffer::costBytes).sum();
    }

    /**
     * Returns the next piece to send and counts it as sent.
     *
     * @param windowBytes no piece is sent while this much is sent and not acknowledged, positive
     * @return the piece, or null if there is none or the window is full
     */
    public Piece poll(int windowBytes) {
        if (sentIndex == nextIndex || inFlightBytes >= windowBytes) {
            return null;
        }
        byte[] data = pieces.get(slot(sentIndex));
        inFlightBytes += costBytes(data);
        return new Piece(sentIndex++, data);
    }

    /**
     * Tells whether every piece so far has been sent.
     *
     * @return true if {@link #poll} has nothing, whatever the window
     */
    public boolean isAllSent() {
        return sentIndex == nextIndex;
    }

    /**
     * Moves the window on.
     *
     * @param index the first piece that is still wanted; lower than before changes nothing, and
     *     pieces that were not sent are not counted
     */
    public void acknowledge(int index) {
        int upTo = Math.min(index, sentIndex);
        while (acknowledgedIndex < upTo) {
            int cost = costBytes(pieces.get(slot(acknowledgedIndex)));
            acknowledgedBytes += cost;
            inFlightBytes -= cost;
            acknowledgedIndex++;
        }
    }

    private int slot(int index) {
        return releasedSlots + index - firstIndex;
    }

    /**
     * Forgets acknowledged pieces, oldest first; resuming from them becomes impossible.
     *
     * @param wantedBytes how much to release, in bytes
     * @return how much was released, in bytes; less than wanted if too little is acknowledged
     */
    public long releaseAcknowledged(long wantedBytes) {
        long released = 0;
        while (released < wantedBytes && firstIndex < acknowledgedIndex) {
            released += costBytes(pieces.set(releasedSlots, null));
            releasedSlots++;
            firstIndex++;
        }
        if (releasedSlots > pieces.size() / 2) {
            pieces.subList(0, releasedSlots).clear();
            releasedSlots = 0;
        }
        bytes -= released;
        acknowledgedBytes -= released;
        return released;
    }

    /**
     * Forgets every piece; the indices go on.
     *
     * @return how much was released, in bytes
     */
    public long releaseAll() {
        long released = bytes;
        pieces.clear();
        releasedSlots = 0;
        firstIndex = nextIndex;
        sentIndex = nextIndex;
        acknowledgedIndex = nextIndex;
        bytes = 0;
        acknowledgedBytes = 0;
        inFlightBytes = 0;
        return released;
    }

    /**
     * Returns the pieces from an index on.
     *
     * @param index the first piece that is wanted
     * @return the kept pieces from there on
     * @throws IllegalArgumentException if the piece has been released or does not exist yet
     */
    public List<byte[]> from(int index) {
        if (index < firstIndex || index > nextIndex) {
            throw new IllegalArgumentException(
                    "piece " + index + " is not kept; ask from " + firstIndex + " on");
        }
        return List.copyOf(pieces.subList(slot(index), pieces.size()));
    }

    /**
     * Returns the index that the next piece will have.
     *
     * @return the number of pieces so far
     */
    public int nextIndex() {
        return nextIndex;
    }

    /**
     * Returns the cost of the kept pieces.
     *
     * @return the cost, in bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns the cost of the pieces that no reader has acknowledged.
     *
     * @return the cost, in bytes
     */
    public long unacknowledgedBytes() {
        return bytes - acknowledgedBytes;
    }
}
