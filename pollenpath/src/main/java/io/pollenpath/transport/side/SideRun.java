package io.pollenpath.transport.side;

import io.opentelemetry.api.trace.Span;
import io.pollenpath.coordination.AnswerBuffer;
import io.pollenpath.protocol.wire.Execution;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.transport.PeerChannel;

/** One admitted request of a side process, with its answer; used on the control thread only. */
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
    private boolean headReceived;
    private boolean paused;
    private long idleSinceNanos;
    private Frame.Builder finalFrame;
    private boolean finalFrameSent;
    private String abandonReason = "";

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
        windowBytes = windowOrDefault(submit.getWindowBytes());
        readerId = submit.getReader();
    }

    private int windowOrDefault(int requestedBytes) {
        return requestedBytes > 0 ? requestedBytes : defaultWindowBytes;
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

    /** Returns whether the backend server has sent the head of its answer. */
    boolean hasHead() {
        return headReceived;
    }

    boolean hasReader() {
        return reader != null;
    }

    /** Returns whether a link other than the given one reads the answer. */
    boolean hasOtherReader(PeerChannel peer) {
        return reader != null && reader != peer;
    }

    /** Returns the refusal for a reader that was replaced by another one. */
    Frame.Builder replacedRefusal(long formerReaderId) {
        Execution execution = isStarted() ? Execution.EXECUTION_YES : Execution.EXECUTION_UNKNOWN;
        Frame.Builder replaced =
                refused(
                        execution,
                        "resumed_elsewhere",
                        "another connection now reads this answer",
                        0);
        replaced.getRefusedBuilder().setReader(formerReaderId);
        return replaced;
    }

    /**
     * Makes a link the reader and sends it the answer from a given piece on. The former reader, if
     * any, receives a refusal.
     *
     * @throws IllegalArgumentException if the piece is no longer retained
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
            send(replacedRefusal(readerId));
        }
        reader = newReader;
        readerId = newReaderId;
        attempt = newAttempt;
        windowBytes = windowOrDefault(newWindowBytes);
        idleSinceNanos = nowNanos;
        finalFrameSent = false;
        if (headReceived) {
            send(SideFrames.head(requestId(), attempt, status, contentType));
        }
        sendAllowed();
    }

    /** Removes a disconnected reader; the answer is kept so that it can be resumed. */
    void detach(PeerChannel closed, long nowNanos) {
        if (reader == closed) {
            reader = null;
            idleSinceNanos = nowNanos;
        }
    }

    void setHead(int newStatus, String newContentType) {
        status = newStatus;
        contentType = newContentType;
        headReceived = true;
        send(SideFrames.head(requestId(), attempt, status, contentType));
    }

    void acknowledge(PeerChannel peer, int nextIndex, long nowNanos) {
        if (peer == reader) {
            idleSinceNanos = nowNanos;
            answer.acknowledge(nextIndex);
            sendAllowed();
        }
    }

    void finish() {
        answer.finish();
        finalFrame = SideFrames.finished(requestId(), attempt, answer.nextIndex());
        sendAllowed();
    }

    /** Ends the answer early; the reader receives this refusal after the retained pieces. */
    void fail(Frame.Builder refused) {
        answer.finish();
        finalFrame = refused;
        sendAllowed();
    }

    /** Sends a refusal to a stalled reader and removes it. */
    void dropReader(Frame.Builder refused) {
        send(refused);
        reader = null;
    }

    Frame.Builder refused(Execution execution, String code, String detail, int retryAfterMs) {
        return SideFrames.refused(requestId(), attempt, execution, code, detail, retryAfterMs);
    }

    /** Sends the pieces that the window allows, then the final frame. */
    void sendAllowed() {
        if (reader == null) {
            return;
        }
        for (AnswerBuffer.Piece piece = answer.poll(windowBytes);
                piece != null;
                piece = answer.poll(windowBytes)) {
            send(SideFrames.chunk(requestId(), attempt, piece.index(), piece.data()));
        }
        if (finalFrame != null && !finalFrameSent && answer.isAllSent()) {
            finalFrameSent = true;
            send(finalFrame);
        }
    }

    /** Pauses or resumes reading from the backend server. */
    void setPaused(boolean newPaused, long nowNanos) {
        if (newPaused == paused || backendRun == null) {
            return;
        }
        paused = newPaused;
        idleSinceNanos = nowNanos;
        backendRun.setReading(!paused);
    }

    /** Returns whether the run has had no reader, or a stalled one, for a duration. */
    boolean isIdleFor(long nanos, long nowNanos) {
        boolean unread = reader == null || paused;
        return unread && endedNanos == 0 && nowNanos - idleSinceNanos >= nanos;
    }

    /** Marks the run as abandoned; returns false if it already was. */
    boolean abandon(String reason) {
        boolean first = abandonReason.isEmpty();
        abandonReason = reason;
        return first;
    }

    /** Returns why the run was abandoned, empty if it was not. */
    String abandonReason() {
        return abandonReason;
    }

    void send(Frame.Builder frame) {
        if (reader != null) {
            reader.send(frame);
        }
    }
}
