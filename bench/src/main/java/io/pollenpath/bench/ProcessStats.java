package io.pollenpath.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Reads the CPU time, memory and I/O counters of a process from {@code /proc}. */
public final class ProcessStats {

    private static final long NANOS_PER_TICK = TimeUnit.MILLISECONDS.toNanos(10);

    /** Positions in {@code /proc/PID/stat}, counted from the field after the command name. */
    private static final int UTIME_INDEX = 11;

    private static final int STIME_INDEX = 12;
    private static final long BYTES_PER_KB = 1_024;

    private final Path directory;

    /**
     * Creates a reader of the statistics of one process.
     *
     * @param pid the process id
     */
    public ProcessStats(long pid) {
        directory = Path.of("/proc", Long.toString(pid));
    }

    /**
     * Returns the CPU time used so far by all threads, in user and kernel mode.
     *
     * @return the time in nanoseconds, with a resolution of 10 ms
     * @throws IOException if the process has ended
     */
    public long cpuNanos() throws IOException {
        String stat = Files.readString(directory.resolve("stat"));
        // The command name in parentheses may contain spaces, so the fields are split after it.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        long ticks = Long.parseLong(fields[UTIME_INDEX]) + Long.parseLong(fields[STIME_INDEX]);
        return ticks * NANOS_PER_TICK;
    }

    /**
     * Returns the resident set size.
     *
     * @return the size in bytes
     * @throws IOException if the process has ended
     */
    public long residentBytes() throws IOException {
        try (Stream<String> lines = Files.lines(directory.resolve("status"))) {
            String line = lines.filter(l -> l.startsWith("VmRSS:")).findFirst().orElse("0");
            String digits = line.toLowerCase(Locale.ROOT).replaceAll("[^0-9]", "");
            return Long.parseLong(digits) * BYTES_PER_KB;
        }
    }

    /**
     * Returns the number of bytes read and written so far, including sockets and the log.
     *
     * @return the sum of both directions, in bytes
     * @throws IOException if the process has ended
     */
    public long ioBytes() throws IOException {
        return field("rchar:") + field("wchar:");
    }

    /**
     * Returns the number of read and write system calls so far, an upper bound of the number of
     * messages.
     *
     * @return the sum of both directions
     * @throws IOException if the process has ended
     */
    public long ioCalls() throws IOException {
        return field("syscr:") + field("syscw:");
    }

    private long field(String name) throws IOException {
        try (Stream<String> lines = Files.lines(directory.resolve("io"))) {
            String line = lines.filter(l -> l.startsWith(name)).findFirst().orElse(name + " 0");
            return Long.parseLong(line.substring(name.length()).trim());
        }
    }
}
