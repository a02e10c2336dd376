package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
public final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    public Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public synchronized void line(String text) {
        String line = String.format("%7d ms  %s", (System.nanoTime() - startNanos) / 1_000_000, text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
