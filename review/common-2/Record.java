package io.pollenpath.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, each line with its time in seconds. */
public final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    /** Creates the file {@code record.txt} in the folder of a case. */
    public Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
    }

    /** Writes a line with the present time. */
    public void line(String text) {
        lineAt(System.nanoTime(), text);
    }

    /** Writes a line with the time at which something happened. */
    public synchronized void lineAt(long nanos, String text) {
        out.printf(Locale.ROOT, "%9.3f s  %s%n", (nanos - startNanos) / 1e9, text);
    }

    /** Writes a line to the record and to standard output. */
    public void show(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
