package io.pollenpath.review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands in for a model engine: it answers with a stream of events. In trouble one
 * of 20 goes on after the first event with line ends that are no event, without end, until its caller
 * closes.
 */
public final class StreamEngine implements AutoCloseable {

    private static final int EVENTS = 24;
    private static final long EVENT_INTERVAL_MS = 20;
    private static final int STREAMS_PER_FLAW = 20;
    private static final int PIECE_BYTES = 4_096;

    /** The rate of the link of a machine beside an engine, 14 Mbit/s, in bytes a second. */
    private static final double LINK_BYTES_PER_SECOND = 14e6 / 8;

    private final String id;
    private final RawServer server;
    private final AtomicLong endlessBytes = new AtomicLong();
    private final AtomicLong streams = new AtomicLong();
    private final AtomicLong endlessStreams = new AtomicLong();
    private volatile boolean inTrouble;
    private long nextPieceNanos = System.nanoTime();

    /** Starts listening on a free port of the loopback address. */
    public StreamEngine(String id) throws IOException {
        this.id = id;
        server = new RawServer(this::answer);
    }

    /** Returns the port that the engine listens on. */
    public int port() {
        return server.port();
    }

    /** Sets whether later answers go on without end. */
    public void setInTrouble(boolean newInTrouble) {
        inTrouble = newInTrouble;
    }

    /** Returns the number of streams that went on without end. */
    public long endlessStreams() {
        return endlessStreams.get();
    }

    /** Returns the number of bytes sent that are no answer. */
    public long endlessBytes() {
        return endlessBytes.get();
    }

    private boolean answer(RawServer.Request request, OutputStream out)
            throws IOException, InterruptedException {
        if (!request.header("expect-instance").equals(id)) {
            write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        boolean endless = inTrouble && streams.incrementAndGet() % STREAMS_PER_FLAW == 0;
        endlessStreams.addAndGet(endless ? 1 : 0);
        write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                        + "\r\nUpstream-Signature: proof-of-" + id
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String after = request.header("last-event-id");
        for (int i = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; i <= EVENTS; i++) {
            writeChunk(out, "id: " + i + "\ndata: piece-" + i + "\n\n");
            Thread.sleep(EVENT_INTERVAL_MS);
            if (endless) {
                writeLineEnds(out);
            }
        }
        write(out, "0\r\n\r\n");
        return true;
    }

    private void writeLineEnds(OutputStream out) throws IOException, InterruptedException {
        char[] lineEnds = new char[PIECE_BYTES];
        Arrays.fill(lineEnds, '\n');
        String piece = new String(lineEnds);
        while (true) {
            awaitLink();
            writeChunk(out, piece);
            endlessBytes.addAndGet(PIECE_BYTES);
        }
    }

    /** Waits until the link of the engine's machine has carried the pieces before. */
    private void awaitLink() throws InterruptedException {
        long waitNanos;
        synchronized (this) {
            long nowNanos = System.nanoTime();
            nextPieceNanos = Math.max(nowNanos, nextPieceNanos);
            waitNanos = nextPieceNanos - nowNanos;
            nextPieceNanos += (long) (PIECE_BYTES / LINK_BYTES_PER_SECOND * 1e9);
        }
        TimeUnit.NANOSECONDS.sleep(waitNanos);
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
