package io.pollenpath.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Reassembles the pieces of one answer in order from frames that may be duplicated, delayed,
 * reordered or missing.
 *
 * <p>Pieces that arrive ahead of a missing one wait in a bounded buffer. Beyond the bound they are
 * dropped, and {@link #pollGap} reports that they must be requested again.
 */
public final class AnswerAssembler {

    private static final int UNKNOWN = -1;

    private final int maxEarlyBytes;
    private final TreeMap<Integer, byte[]> earlyPieces = new TreeMap<>();
    private int earlyBytes;
    private int unacknowledgedBytes;
    private int nextIndex;
    private int expectedCount = UNKNOWN;
    private int requestedFrom = UNKNOWN;
    private boolean headKnown;
    private boolean gapDetected;

    /**
     * Creates an assembler.
     *
     * @param nextIndex the index of the first piece to deliver
     * @param maxEarlyBytes the maximum cost of pieces that wait for earlier ones, in bytes, at
     *     least 0
     */
    public AnswerAssembler(int nextIndex, int maxEarlyBytes) {
        this.nextIndex = nextIndex;
        this.maxEarlyBytes = maxEarlyBytes;
    }

    /**
     * Handles the head of the answer; a duplicate changes nothing.
     *
     * @return the pieces that can now be delivered, in order
     */
    public List<byte[]> onHead() {
        headKnown = true;
        return removeDeliverable();
    }

    /**
     * Handles a piece; one that was already delivered is dropped.
     *
     * @param index the index of the piece, from 0
     * @param data the bytes of the piece, not null
     * @return the pieces that can now be delivered, in order
     */
    public List<byte[]> onPiece(int index, byte[] data) {
        unacknowledgedBytes += AnswerBuffer.costBytes(data);
        if (index < nextIndex) {
            return List.of();
        }
        if (index == nextIndex && headKnown && earlyPieces.isEmpty()) {
            nextIndex++;
            return List.of(data);
        }
        gapDetected |= index > nextIndex || !headKnown;
        bufferEarly(index, data);
        return removeDeliverable();
    }

    private void bufferEarly(int index, byte[] data) {
        boolean fits = earlyBytes + AnswerBuffer.costBytes(data) <= maxEarlyBytes;
        if ((fits || index == nextIndex) && earlyPieces.putIfAbsent(index, data) == null) {
            earlyBytes += AnswerBuffer.costBytes(data);
        }
    }

    private List<byte[]> removeDeliverable() {
        List<byte[]> deliverable = new ArrayList<>();
        while (headKnown && !earlyPieces.isEmpty() && earlyPieces.firstKey() <= nextIndex) {
            int index = earlyPieces.firstKey();
            byte[] data = earlyPieces.remove(index);
            earlyBytes -= AnswerBuffer.costBytes(data);
            if (index == nextIndex) {
                unacknowledgedBytes += AnswerBuffer.costBytes(data);
                deliverable.add(data);
                nextIndex++;
            }
        }
        return deliverable;
    }

    /**
     * Handles the end of the answer.
     *
     * @param pieceCount the number of pieces of the answer
     */
    public void onEnd(int pieceCount) {
        expectedCount = pieceCount;
        gapDetected |= !isComplete();
    }

    /**
     * Returns whether the whole answer has been delivered.
     *
     * @return true if the head, every piece and the end have arrived
     */
    public boolean isComplete() {
        return headKnown && expectedCount != UNKNOWN && nextIndex >= expectedCount;
    }

    /**
     * Returns, once for each gap, whether the answer must be requested again from {@link
     * #nextIndex}.
     *
     * @return true if a gap was detected since the last call and has not been requested yet
     */
    public boolean pollGap() {
        boolean requestNeeded = gapDetected && !isComplete() && requestedFrom != nextIndex;
        gapDetected = false;
        if (requestNeeded) {
            requestedFrom = nextIndex;
        }
        return requestNeeded;
    }

    /**
     * Returns whether {@link #nextIndex} should be acknowledged. Duplicates count as well: a sender
     * that restarted below the delivered pieces fills its window with duplicates, and only an
     * acknowledgement lets it continue.
     *
     * @param thresholdBytes the cost of pieces received since the last acknowledgement from which
     *     one is due, in bytes, well below the window of the sender
     * @return true if an acknowledgement is due
     */
    public boolean isAcknowledgementDue(int thresholdBytes) {
        return unacknowledgedBytes >= thresholdBytes;
    }

    /** Records that an acknowledgement for {@link #nextIndex} has been sent. */
    public void onAcknowledged() {
        unacknowledgedBytes = 0;
    }

    /** Handles a new link: requests made over the old link have to be resent. */
    public void onLinkRestored() {
        unacknowledgedBytes = 0;
        requestedFrom = UNKNOWN;
        expectedCount = UNKNOWN;
    }

    /**
     * Returns the index of the next piece to deliver.
     *
     * @return the number of pieces delivered, counted from the start of the answer
     */
    public int nextIndex() {
        return nextIndex;
    }
}
