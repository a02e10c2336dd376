package io.pollenpath.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process started by the bench, with its output and the ports that it listens on. */
public final class ChildProcess {

    private static final Pattern PORT = Pattern.compile(" port=(\\d+)");
    private static final Pattern ADMIN_PORT = Pattern.compile(" admin_port=(\\d+)");
    private static final long START_TIMEOUT_S = 60;

    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private final CompletableFuture<String> listeningLine = new CompletableFuture<>();

    ChildProcess(Process process) {
        this.process = process;
        Thread reader = new Thread(this::readLines, "output-" + process.pid());
        reader.setDaemon(true);
        reader.start();
    }

    private void readLines() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                handleLine(line);
            }
        } catch (IOException e) {
            listeningLine.completeExceptionally(e);
        }
        listeningLine.completeExceptionally(
                new IOException("process exited before it was listening: " + lines()));
    }

    private void handleLine(String line) {
        synchronized (lines) {
            lines.add(line);
        }
        if (line.contains("event=listening")) {
            listeningLine.complete(line);
        }
    }

    /** Waits for the log line with which the process reports that it listens. */
    void awaitListening() throws IOException {
        try {
            listeningLine.get(START_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("process is not listening: " + lines(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a process to start", e);
        }
    }

    /**
     * Returns the output written so far.
     *
     * @return a copy of the lines, in the order in which they were written
     */
    public List<String> lines() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    /**
     * Returns the port on which the process listens.
     *
     * @return the port that the process logged
     */
    public int port() {
        return parsePort(PORT);
    }

    /**
     * Returns the port of the admin interface.
     *
     * @return the port that the process logged
     */
    public int adminPort() {
        return parsePort(ADMIN_PORT);
    }

    private int parsePort(Pattern pattern) {
        Matcher matcher = pattern.matcher(listeningLine.join());
        if (!matcher.find()) {
            throw new UncheckedIOException(
                    new IOException("no port in log line: " + listeningLine.join()));
        }
        return Integer.parseInt(matcher.group(1));
    }

    /**
     * Returns the process id.
     *
     * @return the id
     */
    public long pid() {
        return process.pid();
    }

    /** Sends SIGTERM to the process. */
    public void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL to the process. */
    public void kill() {
        process.destroyForcibly();
    }

    /**
     * Waits until the process ends.
     *
     * @param timeout the maximum time to wait
     * @param unit the unit of the timeout
     * @return true if the process has ended, false after the timeout or an interrupt
     */
    public boolean awaitExit(long timeout, TimeUnit unit) {
        try {
            return process.waitFor(timeout, unit);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Returns the exit code of a process that has ended.
     *
     * @return the exit code
     * @throws IllegalThreadStateException if the process still runs
     */
    public int exitCode() {
        return process.exitValue();
    }
}
