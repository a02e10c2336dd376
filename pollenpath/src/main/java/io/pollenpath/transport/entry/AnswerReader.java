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
 * Reads one answer from a side process and writes it to the caller, in order and each piece once.
 *
 * <p>Asks again after a gap and after the link came back, and acknowledges pieces as the caller
 * takes them. Runs on the loop of the caller's connection.
 */
final class AnswerReader implements AttemptListener {

    private static final int ACKNOWLEDGEMENTS_PER_WINDOW = 4;

    /** Takes how the reading ended. */
    interface Outcome {

        /** Takes the news that the backend server got the request. */
        void onStarted();

        /** Takes the news that the first piece of the answer has come. */
        default void onFirstPiece() {}

        /** Takes the news that the whole answer was written. */
        void onFinished();

        /** Takes the final word of the side process. */
        void onRefused(Refused refused);

        /** Takes the loss of the side process, or of the link for too long. */
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
    private final Outcome outcome;
    private final AnswerAssembler assembler;
    private int losses;
    private boolean suspended;
    private boolean answered;
    private boolean receiving;
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
            Outcome outcome) {
        this.link = link;
        this.requestId = requestId;
        this.customer = customer;
        this.firstFrame = withReader(firstFrame);
        this.exchange = exchange;
        this.writer = writer;
        this.limits = limits;
        this.outcome = outcome;
        assembler = new AnswerAssembler(writer.nextIndex(), 2 * limits.windowBytes());
    }

    private Frame withReader(Frame frame) {
        Frame.Builder builder = frame.toBuilder();
        if (builder.hasSubmit()) {
            builder.getSubmitBuilder().setReader(readerId);
        } else {
            builder.getResumeBuilder().setReader(readerId);
        }
        return builder.build();
    }

    /** Sends the first frame; returns false if there is no link, so that nothing was sent. */
    boolean start() {
        exchange.onWritable(this::acknowledge);
        return link.send(requestId, firstFrame.toBuilder(), this);
    }

    /** Stops reading; frames that follow are dropped. */
    void stop() {
        ended = true;
        link.forget(requestId, this);
    }

    /** Stops reading and tells the side process that the caller has gone. */
    void cancel(boolean resumable) {
        stop();
        Cancel.Builder cancel =
                Cancel.newBuilder()
                        .setRequestId(requestId)
                        .setResumable(resumable)
                        .setReader(readerId);
        link.tell(Frame.newBuilder().setCancel(cancel));
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
                    outcome.onStarted();
                });
    }

    @Override
    public void onHead(Head head) {
        onLoop(
                () -> {
                    started = true;
                    answered = true;
                    writer.head(head.getStatus(), head.getContentType());
                    write(assembler.onHead());
                });
    }

    @Override
    public void onChunk(Chunk chunk) {
        byte[] data = chunk.getData().toByteArray();
        onLoop(
                () -> {
                    if (!receiving) {
                        receiving = true;
                        outcome.onFirstPiece();
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
            if (!writer.piece(link.server().name(), piece, limits.maxWholeBytes())) {
                stop();
                outcome.onLost("answer_too_large", Executed.YES);
                return;
            }
        }
        if (assembler.isComplete()) {
            stop();
            writer.finish();
            outcome.onFinished();
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
            watchStall(assembler.nextIndex());
            return;
        }
        assembler.onAcknowledged();
        link.tell(
                Frame.newBuilder()
                        .setAcknowledge(
                                Acknowledge.newBuilder()
                                        .setRequestId(requestId)
                                        .setNextIndex(assembler.nextIndex())));
    }

    /** Closes the connection of a caller that takes nothing for too long. */
    private void watchStall(int index) {
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
        link.tell(Frame.newBuilder().setResume(resume));
    }

    @Override
    public void onRefused(Refused refused) {
        if (refused.getReader() != 0 && refused.getReader() != readerId) {
            return;
        }
        onLoop(
                () -> {
                    stop();
                    outcome.onRefused(refused);
                });
    }

    @Override
    public void onLinkLost() {
        onLoop(
                () -> {
                    suspended = true;
                    losses++;
                    int loss = losses;
                    exchange.loop()
                            .schedule(
                                    () -> giveUpAfter(loss),
                                    limits.reconnectMs(),
                                    TimeUnit.MILLISECONDS);
                });
    }

    private void giveUpAfter(int loss) {
        if (!ended && suspended && losses == loss) {
            lost("link_lost");
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
                        link.tell(firstFrame.toBuilder());
                    }
                });
    }

    @Override
    public void onSideGone() {
        onLoop(() -> lost("side_gone"));
    }

    @Override
    public void onReplaced() {
        onLoop(
                () -> {
                    stop();
                    outcome.onLost("resumed_elsewhere", started ? Executed.YES : Executed.UNKNOWN);
                });
    }

    private void lost(String code) {
        stop();
        outcome.onLost(code, started ? Executed.YES : Executed.UNKNOWN);
    }
}
