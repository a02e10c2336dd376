package io.pollenpath.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the frames of one answer in order, whatever copies, delays and gaps they come with.
 *
 * <p>Pieces that come early wait in a bounded store; beyond the bound they are dropped, and the
 * owner is told to ask for them again.
 */
public final class AnswerAssembler {

    private static final int UNKNOWN = -1;

    private final int maxEarlyBytes;
    private final TreeMap<Integer, byte[]> early = new TreeMap<>();
    private int earlyBytes;
    private int unacknowledgedBytes;
    private int nextIndex;
    private int count = UNKNOWN;
    private int askedFrom = UNKNOWN;
    private boolean headKnown;
    private boolean gapSeen;

    /**
     * Creates an assembler.
     *
     * @param nextIndex the first piece that is wanted
     * @param maxEarlyBytes the most bytes of pieces that wait for earlier ones, at least 0
     */
    public AnswerAssembler(int nextIndex, int maxEarlyBytes) {
        this.nextIndex = nextIndex;
        this.maxEarlyBytes = maxEarlyBytes;
    }

    /**
     * Takes the head; a repeated one changes nothing.
     *
     * @return the pieces that are now next, in order
     */
    public List<byte[]> onHead() {
        headKnown = true;
        return takeEarly();
    }

    /**
     * Takes a piece; one that was taken before is dropped.
     *
     * @param index its index, from 0
     * @param data its bytes, not null
     * @return the pieces that are now next, in order
     */
    public List<byte[]> onPiece(int index, byte[] data) {
        unacknowledgedBytes += AnswerBuffer.costBytes(data);
        if (index < nextIndex) {
            return List.of();
        }
        if (index == nextIndex && headKnown && early.isEmpty()) {
            nextIndex++;
            return List.of(data);
        }
        gapSeen |= index > nextIndex || !headKnown;
        keep(index, data);
        return takeEarly();
    }

    private void keep(int index, byte[] data) {
        boolean fits = earlyBytes + AnswerBuffer.costBytes(data) <= maxEarlyBytes;
        if ((fits || index == nextIndex) && early.putIfAbsent(index, data) == null) {
            earlyBytes += AnswerBuffer.costBytes(data);
        }
    }

    private List<byte[]> takeEarly() {
        List<byte[]> next = new ArrayList<>();
        while (headKnown && !early.isEmpty() && early.firstKey() <= nextIndex) {
            int index = early.firstKey();
            byte[] data = early.remove(index);
            earlyBytes -= AnswerBuffer.costBytes(data);
            if (index == nextIndex) {
                unacknowledgedBytes += AnswerBuffer.costBytes(data);
                next.add(data);
                nextIndex++;
            }
        }
        return next;
    }

    /**
     * Takes the end of the answer.
     *
     * @param pieceCount the number of its pieces
     */
    public void onEnd(int pieceCount) {
        count = pieceCount;
        gapSeen |= !isComplete();
    }

    /**
     * Tells whether the whole answer has been taken.
     *
     * @return true if the head, each piece and the end have come
     */
    public boolean isComplete() {
        return headKnown && count != UNKNOWN && nextIndex >= count;
    }

    /**
     * Tells once for each gap that the answer must be asked for again from {@link #nextIndex}.
     *
     * @return true if a gap has been seen that was not asked for yet
     */
    public boolean pollGap() {
        boolean ask = gapSeen && !isComplete() && askedFrom != nextIndex;
        gapSeen = false;
        if (ask) {
            askedFrom = nextIndex;
        }
        return ask;
    }

    /**
     * Tells whether {@link #nextIndex} should be acknowledged. Copies count as well: the sender may
     * have started again below what has been taken, and its window is full of copies then.
     *
     * @param thresholdBytes how much must have come since the last acknowledgement, well below the
     *     window of the sender
     * @return true if an acknowledgement is due
     */
    public boolean isAcknowledgementDue(int thresholdBytes) {
        return unacknowledgedBytes >= thresholdBytes;
    }

    /** Takes the news that {@link #nextIndex} has been acknowledged. */
    public void onAcknowledged() {
        unacknowledgedBytes = 0;
    }

    /** Takes a new link: whatever was asked for by the old one has to be asked for again. */
    public void onLinkRestored() {
        unacknowledgedBytes = 0;
        askedFrom = UNKNOWN;
        count = UNKNOWN;
    }

    /**
     * Returns the index of the next piece to take.
     *
     * @return the number of pieces taken, counted from the start of the answer
     */
    public int nextIndex() {
        return nextIndex;
    }
}
