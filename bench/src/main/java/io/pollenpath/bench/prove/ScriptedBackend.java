package io.pollenpath.bench.prove;

import io.pollenpath.protocol.wire.Submit;
import io.pollenpath.transport.side.Backend;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Answers each request with pseudo-random pieces that depend only on the body of the request. */
final class ScriptedBackend implements Backend {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String JSON = "application/json";
    private static final int STATUS_OK = 200;
    private static final int STATUS_TEAPOT = 418;
    private static final int PAUSE_EVERY_PIECES = 8;
    private static final long PAUSE_NANOS = 50_000;

    private final int maxPieces;
    private final int maxPieceBytes;
    private final int loseAfterPieces;
    private final AtomicLong emittedBytes = new AtomicLong();
    private final AtomicInteger pauses = new AtomicInteger();
    private final AtomicInteger runs = new AtomicInteger();

    /**
     * Creates a backend.
     *
     * @param maxPieces the maximum number of pieces in an answer
     * @param maxPieceBytes the size in bytes that every piece stays below
     * @param loseAfterPieces the number of pieces after which each run is reported lost; 0 for
     *     never
     */
    ScriptedBackend(int maxPieces, int maxPieceBytes, int loseAfterPieces) {
        this.maxPieces = maxPieces;
        this.maxPieceBytes = maxPieceBytes;
        this.loseAfterPieces = loseAfterPieces;
    }

    /** Returns the pieces of the answer to a body. */
    List<byte[]> answerPieces(byte[] body) {
        Random random = new Random(Arrays.hashCode(body));
        List<byte[]> pieces = new ArrayList<>();
        int count = maxPieces / 2 + random.nextInt(maxPieces / 2 + 1);
        for (int i = 0; i < count; i++) {
            byte[] piece = new byte[random.nextInt(maxPieceBytes)];
            random.nextBytes(piece);
            for (int j = 0; j < piece.length; j++) {
                piece[j] = piece[j] == '\r' ? (byte) '\n' : piece[j];
            }
            pieces.add(piece);
        }
        return pieces;
    }

    /** Returns the complete answer to a body, as callers receive it that do not stream. */
    byte[] wholeBody(byte[] body) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        answerPieces(body).forEach(whole::writeBytes);
        return whole.toByteArray();
    }

    /** Returns the HTTP status of answers that are not streamed. */
    int wholeStatus() {
        return STATUS_TEAPOT;
    }

    /** Returns the number of runs started. */
    int runs() {
        return runs.get();
    }

    /** Returns how many times a run was asked to pause its output. */
    int pauses() {
        return pauses.get();
    }

    /** Returns the number of bytes emitted by all runs. */
    long emittedBytes() {
        return emittedBytes.get();
    }

    @Override
    public Run run(Submit submit, String traceparent, Listener listener) {
        runs.incrementAndGet();
        ScriptedRun run = new ScriptedRun(submit, listener);
        Thread thread = new Thread(run::emit, "scripted-backend");
        thread.setDaemon(true);
        thread.start();
        return run;
    }

    private final class ScriptedRun implements Run {
        private final Submit submit;
        private final Listener listener;
        private boolean reading = true;
        private boolean cancelled;

        ScriptedRun(Submit submit, Listener listener) {
            this.submit = submit;
            this.listener = listener;
        }

        @Override
        public synchronized void cancel() {
            cancelled = true;
            notifyAll();
        }

        @Override
        public synchronized void setReading(boolean newReading) {
            reading = newReading;
            if (!reading) {
                pauses.incrementAndGet();
            }
            notifyAll();
        }

        private synchronized boolean awaitReading() {
            while (!reading && !cancelled) {
                try {
                    wait();
                } catch (InterruptedException e) {
                    return false;
                }
            }
            return !cancelled;
        }

        void emit() {
            boolean streamed = submit.getStreamed();
            listener.onHead(streamed ? STATUS_OK : STATUS_TEAPOT, streamed ? EVENT_STREAM : JSON);
            int emitted = 0;
            for (byte[] piece : answerPieces(submit.getBody().toByteArray())) {
                boolean lost = loseAfterPieces > 0 && emitted == loseAfterPieces;
                if (!awaitReading() || lost) {
                    listener.onLost(
                            new IOException("the scripted run was cancelled or lost"), true);
                    return;
                }
                listener.onPiece(piece);
                emittedBytes.addAndGet(piece.length);
                emitted++;
                if (emitted % PAUSE_EVERY_PIECES == 0) {
                    LockSupport.parkNanos(PAUSE_NANOS);
                }
            }
            listener.onEnd();
        }
    }
}
