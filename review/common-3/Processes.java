package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts processes and ends all of them when it is closed. */
public final class Processes implements AutoCloseable {

    private final Path root;
    private final Path logs;
    private final List<Process> started = new ArrayList<>();

    /**
     * @param root the repository, in which the programs of the deploy file start
     * @param logs the folder for what the processes write
     */
    public Processes(Path root, Path logs) {
        this.root = root;
        this.logs = logs;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Starts a role with the words of its {@code run} line in the deploy file. */
    public Process role(String role, String name, Path settings) throws IOException {
        List<String> words = List.of(runLine(role).split(" "));
        return start(words, name, Map.of("POLLENPATH_BOOT", settings.toString()));
    }

    private String runLine(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }

    /** Starts a stand-in of the cases as a process of its own. */
    public Process standin(Class<?> main, String name, String... arguments) throws IOException {
        List<String> words = new ArrayList<>(List.of("java", "-Xmx64m", "-XX:+UseSerialGC"));
        words.addAll(List.of("-XX:TieredStopAtLevel=1", "-cp", "target/review-3", main.getName()));
        words.addAll(List.of(arguments));
        return start(words, name, Map.of());
    }

    private synchronized Process start(List<String> words, String name, Map<String, String> env)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
        builder.environment().putAll(env);
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(logs.resolve(name + ".log").toFile()));
        Process process = builder.start();
        started.add(process);
        return process;
    }

    /** Sends a signal, such as STOP or CONT, to a process that was started here. */
    public static void signal(Process process, String signal)
            throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public synchronized void close() {
        started.forEach(Process::destroyForcibly);
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
