package io.pollenpath.coordination;

import java.util.ArrayList;
import java.util.List;

/**
 * Retains the pieces of one answer, so that they can be sent within a flow-control window and sent
 * again when a reader resumes. A piece is the data of one frame of the answer.
 *
 * <p>Acknowledging a piece moves the window but retains the piece, because a reader may fail after
 * it received a piece and before its caller did. {@link #releaseAcknowledged} frees acknowledged
 * pieces when memory is short.
 */
public final class AnswerBuffer {

    /** Memory overhead of a retained piece beyond its data, in bytes. */
    public static final int PIECE_OVERHEAD_BYTES = 64;

    private final List<byte[]> pieces = new ArrayList<>();
    private int releasedEntries;
    private int firstIndex;
    private int acknowledgedIndex;
    private int sentIndex;
    private int nextIndex;
    private long bytes;
    private long acknowledgedBytes;
    private long inFlightBytes;
    private boolean finished;

    /**
     * A piece to send.
     *
     * @param index the index of the piece in the answer, from 0
     * @param data the bytes of the piece
     */
    public record Piece(int index, byte[] data) {}

    /**
     * Returns the cost of one piece, as counted in every limit on bytes.
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
            throw new IllegalStateException("the answer is finished; no piece can be appended");
        }
        pieces.add(piece);
        bytes += costBytes(piece);
        return nextIndex++;
    }

    /** Marks the answer as complete. */
    public void finish() {
        finished = true;
    }

    /**
     * Returns whether the answer is complete.
     *
     * @return true if no piece can be appended any more
     */
    public boolean isFinished() {
        return finished;
    }

    /**
     * Restarts sending at a piece; every piece below it counts as acknowledged.
     *
     * @param index the index of the first piece to send
     * @throws IllegalArgumentException if the piece has been released or does not exist yet
     */
    public void rewind(int index) {
        List<byte[]> remaining = piecesFrom(index);
        sentIndex = index;
        acknowledgedIndex = index;
        inFlightBytes = 0;
        acknowledgedBytes = bytes - remaining.stream().mapToLong(AnswerBuffer::costBytes).sum();
    }

    /**
     * Returns the next piece to send and marks it as sent.
     *
     * @param windowBytes the size of the window, in bytes, positive; while the pieces that were
     *     sent and not acknowledged cost this much or more, no piece is returned
     * @return the piece, or null if there is none or the window is full
     */
    public Piece poll(int windowBytes) {
        if (sentIndex == nextIndex || inFlightBytes >= windowBytes) {
            return null;
        }
        byte[] data = pieces.get(listIndex(sentIndex));
        inFlightBytes += costBytes(data);
        return new Piece(sentIndex++, data);
    }

    /**
     * Returns whether every piece appended so far has been sent.
     *
     * @return true if {@link #poll} would return null for any window
     */
    public boolean isAllSent() {
        return sentIndex == nextIndex;
    }

    /**
     * Acknowledges all pieces below an index, which moves the window.
     *
     * @param index the index of the first piece that is not acknowledged; an index at or below an
     *     earlier one changes nothing, and pieces that were not sent stay unacknowledged
     */
    public void acknowledge(int index) {
        int endIndex = Math.min(index, sentIndex);
        while (acknowledgedIndex < endIndex) {
            int cost = costBytes(pieces.get(listIndex(acknowledgedIndex)));
            acknowledgedBytes += cost;
            inFlightBytes -= cost;
            acknowledgedIndex++;
        }
    }

    private int listIndex(int index) {
        return releasedEntries + index - firstIndex;
    }

    /**
     * Frees acknowledged pieces, oldest first; a reader can no longer resume from them.
     *
     * @param targetBytes the cost of the pieces to free, in bytes
     * @return the cost of the freed pieces, in bytes; below {@code targetBytes} if too few pieces
     *     are acknowledged
     */
    public long releaseAcknowledged(long targetBytes) {
        long released = 0;
        while (released < targetBytes && firstIndex < acknowledgedIndex) {
            released += costBytes(pieces.set(releasedEntries, null));
            releasedEntries++;
            firstIndex++;
        }
        if (releasedEntries > pieces.size() / 2) {
            pieces.subList(0, releasedEntries).clear();
            releasedEntries = 0;
        }
        bytes -= released;
        acknowledgedBytes -= released;
        return released;
    }

    /**
     * Frees every piece; later pieces continue the numbering.
     *
     * @return the cost of the freed pieces, in bytes
     */
    public long releaseAll() {
        long released = bytes;
        pieces.clear();
        releasedEntries = 0;
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
     * @param index the index of the first piece
     * @return the retained pieces from that index on
     * @throws IllegalArgumentException if the piece has been released or does not exist yet
     */
    public List<byte[]> piecesFrom(int index) {
        if (index < firstIndex || index > nextIndex) {
            throw new IllegalArgumentException(
                    "piece "
                            + index
                            + " is not retained; the first retained piece is "
                            + firstIndex);
        }
        return List.copyOf(pieces.subList(listIndex(index), pieces.size()));
    }

    /**
     * Returns the index of the next piece to be appended.
     *
     * @return the number of pieces appended so far
     */
    public int nextIndex() {
        return nextIndex;
    }

    /**
     * Returns the cost of the retained pieces.
     *
     * @return the cost, in bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns the cost of the pieces that are not acknowledged.
     *
     * @return the cost, in bytes
     */
    public long unacknowledgedBytes() {
        return bytes - acknowledgedBytes;
    }
}
