package io.pollenpath.transport.entry;

import io.pollenpath.coordination.AnswerAssembler;
import io.pollenpath.protocol.wire.Acknowledge;
import io.pollenpath.protocol.wire.Cancel;
import io.pollenpath.protocol.wire.Chunk;
import io.pollenpath.protocol.wire.Finished;
import io.pollenpath.protocol.wire.Frame;
import io.pollenpath.protocol.wire.Head;
import io.pollenpath.protocol.wire.Refused;
import io.pollenpath.protocol.wire.Resume;
import io.pollenpath.state.Executed;
import io.pollenpath.transport.HttpExchange;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Receives one answer from a side process and writes each piece to the caller exactly once, in
 * order.
 *
 * <p>Requests the missing pieces after a gap or a reconnect, and acknowledges pieces only while the
 * caller's connection is writable, so that a slow caller slows down the sender. Runs on the event
 * loop of the caller's connection.
 */
final class AnswerReader implements AttemptListener {

    private static final int ACKNOWLEDGEMENTS_PER_WINDOW = 4;

    /** Receives the progress and the result of reading one answer. */
    interface ResultListener {

        /** Is called when the backend server has received the request. */
        void onStarted();

        /** Is called when the first piece of the answer has arrived. */
        default void onFirstPiece() {}

        /** Is called when the whole answer was written to the caller. */
        void onFinished();

        /** Is called when the side process refused the request or ended its answer early. */
        void onRefused(Refused refused);

        /**
         * Is called when the rest of the answer cannot be received here.
         *
         * @param code the problem code for the caller
         * @param executed whether the backend server may have run the request
         */
        void onLost(String code, Executed executed);
    }

    private static final AtomicLong NEXT_READER_ID = new AtomicLong();

    private final long readerId = NEXT_READER_ID.incrementAndGet();
    private final SideLink link;
    private final String requestId;
    private final String customer;
    private final Frame firstFrame;
    private final HttpExchange exchange;
    private final AnswerWriter writer;
    private final DeliveryLimits limits;
    private final ResultListener resultListener;
    private final AnswerAssembler assembler;
    private int linkLossCount;
    private boolean suspended;
    private boolean answered;
    private boolean firstPieceReceived;
    private boolean started;
    private boolean ended;

    AnswerReader(
            SideLink link,
            String requestId,
            String customer,
            Frame firstFrame,
            HttpExchange exchange,
            AnswerWriter writer,
            DeliveryLimits limits,
            ResultListener resultListener) {
        this.link = link;
        this.requestId = requestId;
        this.customer = customer;
        this.firstFrame = withReaderId(firstFrame);
        this.exchange = exchange;
        this.writer = writer;
        this.limits = limits;
        this.resultListener = resultListener;
        assembler = new AnswerAssembler(writer.nextIndex(), 2 * limits.windowBytes());
    }

    private Frame withReaderId(Frame frame) {
        Frame.Builder builder = frame.toBuilder();
        if (builder.hasSubmit()) {
            builder.getSubmitBuilder().setReader(readerId);
        } else {
            builder.getResumeBuilder().setReader(readerId);
        }
        return builder.build();
    }

    /** Sends the first frame; returns false if the link is not open and nothing was sent. */
    boolean start() {
        exchange.onWritable(this::acknowledge);
        return link.send(requestId, firstFrame.toBuilder(), this);
    }

    /** Stops reading; later frames of this answer are dropped. */
    void stop() {
        ended = true;
        link.unregister(requestId, this);
    }

    /**
     * Stops reading and notifies the side process that the caller disconnected.
     *
     * @param resumable whether the caller may come back with {@code Last-Event-ID}
     */
    void cancel(boolean resumable) {
        stop();
        Cancel.Builder cancel =
                Cancel.newBuilder()
                        .setRequestId(requestId)
                        .setResumable(resumable)
                        .setReader(readerId);
        link.sendUnregistered(Frame.newBuilder().setCancel(cancel));
    }

    private void onLoop(Runnable action) {
        exchange.loop()
                .execute(
                        () -> {
                            if (!ended) {
                                action.run();
                            }
                        });
    }

    @Override
    public void onStarted() {
        onLoop(
                () -> {
                    started = true;
                    answered = true;
                    resultListener.onStarted();
                });
    }

    @Override
    public void onHead(Head head) {
        onLoop(
                () -> {
                    started = true;
                    answered = true;
                    writer.setHead(head.getStatus(), head.getContentType());
                    write(assembler.onHead());
                });
    }

    @Override
    public void onChunk(Chunk chunk) {
        byte[] data = chunk.getData().toByteArray();
        onLoop(
                () -> {
                    if (!firstPieceReceived) {
                        firstPieceReceived = true;
                        resultListener.onFirstPiece();
                    }
                    write(assembler.onPiece(chunk.getIndex(), data));
                });
    }

    @Override
    public void onFinished(Finished finished) {
        onLoop(
                () -> {
                    assembler.onEnd(finished.getChunkCount());
                    write(List.of());
                });
    }

    private void write(List<byte[]> pieces) {
        for (byte[] piece : pieces) {
            if (!writer.writePiece(link.server().name(), piece, limits.maxWholeBytes())) {
                stop();
                resultListener.onLost("answer_too_large", Executed.YES);
                return;
            }
        }
        if (assembler.isComplete()) {
            stop();
            writer.finish();
            resultListener.onFinished();
            return;
        }
        if (assembler.pollGap()) {
            resume(true);
        }
        acknowledge();
    }

    private void acknowledge() {
        int thresholdBytes = limits.windowBytes() / ACKNOWLEDGEMENTS_PER_WINDOW;
        if (ended || !assembler.isAcknowledgementDue(thresholdBytes)) {
            return;
        }
        if (!exchange.isWritable()) {
            scheduleStallCheck(assembler.nextIndex());
            return;
        }
        assembler.onAcknowledged();
        link.sendUnregistered(
                Frame.newBuilder()
                        .setAcknowledge(
                                Acknowledge.newBuilder()
                                        .setRequestId(requestId)
                                        .setNextIndex(assembler.nextIndex())));
    }

    /** Closes the caller's connection if nothing can be written to it within the stall timeout. */
    private void scheduleStallCheck(int index) {
        exchange.loop()
                .schedule(
                        () -> {
                            boolean stalled = !exchange.isWritable();
                            if (!ended && stalled && assembler.nextIndex() == index) {
                                exchange.abort();
                            }
                        },
                        limits.stallMs(),
                        TimeUnit.MILLISECONDS);
    }

    private void resume(boolean continuation) {
        Resume.Builder resume =
                Resume.newBuilder()
                        .setRequestId(requestId)
                        .setCustomer(customer)
                        .setNextIndex(assembler.nextIndex())
                        .setWindowBytes(limits.windowBytes())
                        .setReader(readerId)
                        .setContinuation(continuation);
        link.sendUnregistered(Frame.newBuilder().setResume(resume));
    }

    @Override
    public void onRefused(Refused refused) {
        if (refused.getReader() != 0 && refused.getReader() != readerId) {
            return;
        }
        onLoop(
                () -> {
                    stop();
                    resultListener.onRefused(refused);
                });
    }

    @Override
    public void onLinkLost() {
        onLoop(
                () -> {
                    suspended = true;
                    linkLossCount++;
                    int loss = linkLossCount;
                    exchange.loop()
                            .schedule(
                                    () -> failIfStillSuspended(loss),
                                    limits.reconnectMs(),
                                    TimeUnit.MILLISECONDS);
                });
    }

    private void failIfStillSuspended(int loss) {
        if (!ended && suspended && linkLossCount == loss) {
            reportLost("link_lost");
        }
    }

    @Override
    public void onLinkRestored() {
        onLoop(
                () -> {
                    if (!suspended) {
                        return;
                    }
                    suspended = false;
                    assembler.onLinkRestored();
                    if (answered) {
                        resume(false);
                    } else {
                        link.sendUnregistered(firstFrame.toBuilder());
                    }
                });
    }

    @Override
    public void onSideTerminated() {
        onLoop(() -> reportLost("side_gone"));
    }

    @Override
    public void onReplaced() {
        onLoop(
                () -> {
                    stop();
                    resultListener.onLost(
                            "resumed_elsewhere", started ? Executed.YES : Executed.UNKNOWN);
                });
    }

    private void reportLost(String code) {
        stop();
        resultListener.onLost(code, started ? Executed.YES : Executed.UNKNOWN);
    }
}
