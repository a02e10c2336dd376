package io.pollenpath.transport.side;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.coordination.AnswerBuffer;
import io.pollenpath.protocol.wire.Execution;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.transport.PeerChannel;

/** Holds one admitted request of a side process; used on the control thread only. */
final class SideRun {

    final Submit submit;
    final AnswerBuffer answer;
    final Span queueSpan;
    Span runSpan;
    Backend.Run backendRun;
    PeerChannel reader;
    int attempt;
    long endedNanos;
    private final int defaultWindowBytes;
    private int windowBytes;
    private long readerId;
    private int status;
    private String contentType = "";
    private boolean headKnown;
    private boolean paused;
    private long idleSinceNanos;
    private Frame.Builder last;
    private boolean lastSent;
    private String givenUp = "";

    SideRun(
            Submit submit,
            PeerChannel reader,
            Span queueSpan,
            AnswerBuffer answer,
            int defaultWindowBytes) {
        this.submit = submit;
        this.reader = reader;
        this.queueSpan = queueSpan;
        this.answer = answer;
        this.defaultWindowBytes = defaultWindowBytes;
        attempt = submit.getAttempt();
        windowBytes = windowOf(submit.getWindowBytes());
        readerId = submit.getReader();
    }

    private int windowOf(int wantedBytes) {
        return wantedBytes > 0 ? wantedBytes : defaultWindowBytes;
    }

    String requestId() {
        return submit.getRequestId();
    }

    long readerId() {
        return readerId;
    }

    boolean isStarted() {
        return backendRun != null;
    }

    /** Tells whether the backend server has begun to answer. */
    boolean isHeadKnown() {
        return headKnown;
    }

    boolean isRead() {
        return reader != null;
    }

    /** Tells whether a link other than the given one reads the answer. */
    boolean isReadByOther(PeerChannel peer) {
        return reader != null && reader != peer;
    }

    /** Builds the last word to a link that no longer reads the answer. */
    Frame.Builder replaced(long formerReaderId) {
        Execution execution = isStarted() ? Execution.EXECUTION_YES : Execution.EXECUTION_UNKNOWN;
        Frame.Builder replaced =
                refused(execution, "resumed_elsewhere", "another connection reads it now", 0);
        replaced.getRefusedBuilder().setReader(formerReaderId);
        return replaced;
    }

    /**
     * Makes a link the reader and sends it everything from a piece on; the former reader is told.
     *
     * @throws IllegalArgumentException if the piece is not kept
     */
    void attach(
            PeerChannel newReader,
            int newAttempt,
            int fromIndex,
            int newWindowBytes,
            long newReaderId,
            long nowNanos) {
        answer.rewind(fromIndex);
        if (reader != null && reader != newReader) {
            send(replaced(readerId));
        }
        reader = newReader;
        readerId = newReaderId;
        attempt = newAttempt;
        windowBytes = windowOf(newWindowBytes);
        idleSinceNanos = nowNanos;
        lastSent = false;
        if (headKnown) {
            send(SideFrames.head(requestId(), attempt, status, contentType));
        }
        pump();
    }

    /** Removes a reader that has gone; the answer is kept for one that comes back. */
    void detach(PeerChannel closed, long nowNanos) {
        if (reader == closed) {
            reader = null;
            idleSinceNanos = nowNanos;
        }
    }

    void head(int newStatus, String newContentType) {
        status = newStatus;
        contentType = newContentType;
        headKnown = true;
        send(SideFrames.head(requestId(), attempt, status, contentType));
    }

    void acknowledge(PeerChannel peer, int nextIndex, long nowNanos) {
        if (peer == reader) {
            idleSinceNanos = nowNanos;
            answer.acknowledge(nextIndex);
            pump();
        }
    }

    void finish() {
        answer.finish();
        last = SideFrames.finished(requestId(), attempt, answer.nextIndex());
        pump();
    }

    /** Ends the answer short of its end: the reader gets this after every kept piece. */
    void fail(Frame.Builder refused) {
        answer.finish();
        last = refused;
        pump();
    }

    /** Tells a reader that takes nothing that it is given up, and lets it go. */
    void dropReader(Frame.Builder refused) {
        send(refused);
        reader = null;
    }

    Frame.Builder refused(Execution execution, String code, String detail, int retryAfterMs) {
        return SideFrames.refused(requestId(), attempt, execution, code, detail, retryAfterMs);
    }

    /** Sends what the window allows. */
    void pump() {
        if (reader == null) {
            return;
        }
        for (AnswerBuffer.Piece piece = answer.poll(windowBytes);
                piece != null;
                piece = answer.poll(windowBytes)) {
            send(SideFrames.chunk(requestId(), attempt, piece.index(), piece.data()));
        }
        if (last != null && !lastSent && answer.isAllSent()) {
            lastSent = true;
            send(last);
        }
    }

    /** Pauses or resumes the backend server. */
    void setPaused(boolean newPaused, long nowNanos) {
        if (newPaused == paused || backendRun == null) {
            return;
        }
        paused = newPaused;
        idleSinceNanos = nowNanos;
        backendRun.setReading(!paused);
    }

    /** Tells whether nobody has taken anything of a run, that waits for it, for a time. */
    boolean isIdleFor(long nanos, long nowNanos) {
        boolean waits = reader == null || paused;
        return waits && endedNanos == 0 && nowNanos - idleSinceNanos >= nanos;
    }

    /** Marks the run as given up; returns false if it was before. */
    boolean giveUp(String reason) {
        boolean first = givenUp.isEmpty();
        givenUp = reason;
        return first;
    }

    /** Returns why the run was given up, empty if it was not. */
    String givenUp() {
        return givenUp;
    }

    void send(Frame.Builder frame) {
        if (reader != null) {
            reader.send(frame);
        }
    }
}
