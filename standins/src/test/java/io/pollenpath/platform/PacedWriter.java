package io.pollenpath.platform;

import io.pollenpath.util.Pause;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Writes bytes without end, at the rate of a link of 14 Mbit/s. */
final class PacedWriter {

    /** The bytes of {@link #BURST_MS}. */
    private static final int BURST_BYTES = 17_500;

    /** The time that a burst takes, which is also due before one on another connection. */
    static final long BURST_MS = 10;

    private static final long BURST_NANOS = TimeUnit.MILLISECONDS.toNanos(BURST_MS);

    private PacedWriter() {}

    /**
     * Writes a text again and again.
     *
     * @throws IOException if the peer has closed the connection; this returns in no other way
     *     unless the thread is interrupted
     */
    static void write(OutputStream out, String text) throws IOException {
        int times = Math.max(1, BURST_BYTES / text.length());
        byte[] burst = text.repeat(times).getBytes(StandardCharsets.ISO_8859_1);
        long nextNanos = System.nanoTime();
        while (!Thread.currentThread().isInterrupted()) {
            out.write(burst);
            nextNanos += BURST_NANOS * burst.length / BURST_BYTES;
            long waitMs = TimeUnit.NANOSECONDS.toMillis(nextNanos - System.nanoTime());
            Pause.forMs(Math.max(0, waitMs));
        }
    }
}
