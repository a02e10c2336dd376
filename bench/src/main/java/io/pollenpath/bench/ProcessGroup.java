package io.pollenpath.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts processes of the system and of stand-ins, and terminates all of them when closed. */
public final class ProcessGroup implements AutoCloseable {

    private static final long STOP_TIMEOUT_MS = 10_000;

    private final Path binary;
    private final Path standins;
    private final List<ChildProcess> children = Collections.synchronizedList(new ArrayList<>());
    private final Thread shutdownHook = new Thread(this::killAll);

    /**
     * Creates an empty group. A shutdown hook kills its processes if this JVM exits before the
     * group is closed.
     *
     * @param root the root directory of the project, where the binary and the JAR file of the
     *     stand-ins have been built, not null
     */
    public ProcessGroup(Path root) {
        binary = root.resolve("pollenpath/target/pollenpath");
        standins = root.resolve("standins/target/pollenpath-standins-0.1.0-all.jar");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts the shipped binary and waits until it listens.
     *
     * @param arguments the subcommand and its flags
     * @return the process, listening
     * @throws IOException if the process does not start to listen in time
     */
    public ChildProcess startPollenpath(String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(binary.toString());
        Collections.addAll(command, arguments);
        return start(command);
    }

    /**
     * Starts a stand-in and waits until it listens.
     *
     * @param arguments the name of the stand-in and its flags
     * @return the process, listening
     * @throws IOException if the process does not start to listen in time
     */
    public ChildProcess startStandin(String... arguments) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>();
        Collections.addAll(command, java, "-XX:+UseSerialGC", "-Xmx128m", "-jar");
        command.add(standins.toString());
        Collections.addAll(command, arguments);
        return start(command);
    }

    private ChildProcess start(List<String> command) throws IOException {
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        ChildProcess child = new ChildProcess(process);
        children.add(child);
        child.awaitListening();
        return child;
    }

    /**
     * Runs an operator command and waits until it exits.
     *
     * @param arguments the subcommand and its flags
     * @return the exit code and output of the command
     * @throws IOException if the command does not start, or the wait is interrupted
     */
    public CliResult runCommand(String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(binary.toString());
        Collections.addAll(command, arguments);
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        List<String> lines;
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            lines = reader.lines().toList();
        }
        try {
            return new CliResult(process.waitFor(), lines);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a command to exit", e);
        }
    }

    /**
     * The result of an operator command.
     *
     * @param exitCode the exit code
     * @param lines the lines of standard output and standard error
     */
    public record CliResult(int exitCode, List<String> lines) {}

    /**
     * Returns the output of all processes so far.
     *
     * @return the lines, grouped by process in the order in which the processes were started
     */
    public List<String> lines() {
        List<String> all = new ArrayList<>();
        List.copyOf(children).forEach(child -> all.addAll(child.lines()));
        return all;
    }

    private void killAll() {
        List.copyOf(children).forEach(ChildProcess::kill);
    }

    /**
     * Terminates every process, the last started first: with SIGTERM, then with SIGKILL if it does
     * not exit in time.
     */
    @Override
    public void close() {
        List<ChildProcess> reversed = new ArrayList<>(children);
        Collections.reverse(reversed);
        reversed.forEach(ChildProcess::terminate);
        for (ChildProcess child : reversed) {
            if (!child.awaitExit(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                child.kill();
            }
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
