package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
public final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final long startEpochMs = System.currentTimeMillis();
    private final PrintWriter out;

    public Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public void line(String text) {
        line((System.nanoTime() - startNanos) / 1_000_000, text);
    }

    /** Writes what another process has seen at a time of its own clock. */
    public void seen(long epochMs, String text) {
        line(epochMs - startEpochMs, text);
    }

    private synchronized void line(long elapsedMs, String text) {
        String line = String.format("%7d ms  %s", elapsedMs, text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
