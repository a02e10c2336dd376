package review.common;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The file that tells what was sent, answered and run, with times from the start of the case. */
public final class CaseRecord implements AutoCloseable {

    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    /** Creates the file, in place of one from an earlier run. */
    public CaseRecord(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Adds a line. */
    public synchronized void add(String line) {
        double elapsedMs = (System.nanoTime() - startNanos) / 1e6;
        writer.println(String.format(Locale.ROOT, "%10.1f ms  %s", elapsedMs, line));
    }

    @Override
    public void close() {
        writer.close();
    }
}
