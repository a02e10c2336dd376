package io.pollenpath.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry that runs as a process of its own, with the command of the deploy file. */
public final class EntryProcess implements AutoCloseable {

    private static final Pattern RUN =
            Pattern.compile("\\[roles\\.entry]\\s+run = \"([^\"]+)\"");
    private static final String IP = "127.0.0.1";
    private static final int PORTS = 4;
    private static final int MAX_PORT_ATTEMPTS = 50;

    private final String node;
    private final Path folder;
    private final int firstPort;
    private final int storePort;
    private Process process;
    private int starts;
    private long startNanos;

    /** Creates an entry that is not started yet; its settings and log go to a folder. */
    public EntryProcess(String node, Path folder, int storePort) throws IOException {
        this.node = node;
        this.folder = folder;
        this.storePort = storePort;
        firstPort = freePorts();
        Files.writeString(settingsFile(), settings());
        Runtime.getRuntime().addShutdownHook(new Thread(this::close, "stop-" + node));
    }

    private Path settingsFile() {
        return folder.resolve(node + ".yaml");
    }

    private String settings() {
        return String.join(
                "\n",
                "Node: \"" + node + "\"",
                "Role: \"entry\"",
                "MachineClass: \"edge\"",
                "Serves: [\"edge\"]",
                "Ip: \"" + IP + "\"",
                "Zone: \"zone-a\"",
                "Region: \"region-a\"",
                "Listen:",
                "  Front: \"" + IP + ":" + firstPort + "\"",
                "  Ready: \"" + IP + ":" + (firstPort + 1) + "\"",
                "InternalPortRange: [" + (firstPort + 2) + ", " + (firstPort + 3) + "]",
                "Bootstrap: true",
                "Limits: {CpuShare: 0.57, CpuCores: 1, MemoryMb: 430, MaxFds: 4200, LinkMbps: 1000.0}",
                "HeartbeatMs: 1200",
                "Bounds: {ReuseAfterS: 2, StableWindowMs: 3000, DrainMs: 2000, GraceS: 8,"
                        + " LossSlackMs: 200, ConfigApplyMs: 2000, RetryBudgetRatio: 0.2,"
                        + " BudgetWindowS: 10, BudgetSlack: 90, PassMs: 120, stall_ms: 1500,"
                        + " RequireFencing: true}",
                "Platform: {Address: \"" + IP + ":" + storePort + "\", form: \"objects\","
                        + " WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576}",
                "");
    }

    /** Starts the process. */
    public void start() throws IOException {
        String deploy = Files.readString(Path.of("deploy", "system.toml"));
        Matcher run = RUN.matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file names no command of the entry");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.environment().put("POLLENPATH_BOOT", settingsFile().toString());
        builder.redirectErrorStream(true);
        starts++;
        builder.redirectOutput(logFile().toFile());
        process = builder.start();
        startNanos = System.nanoTime();
    }

    /** Returns how long the process of the latest start has run, in milliseconds; 0 if it ended. */
    public long ranForMs() {
        long ranNanos = System.nanoTime() - startNanos;
        return process.isAlive() ? TimeUnit.NANOSECONDS.toMillis(ranNanos) : 0;
    }

    /** Returns the file with what the latest start has written. */
    public Path logFile() {
        return folder.resolve(node + "-" + starts + ".log");
    }

    /** Returns the process of the latest start. */
    public Process process() {
        return process;
    }

    /** Returns the port on which the entry serves callers. */
    public int callerPort() {
        return firstPort;
    }

    /** Sends a signal to the process. */
    public void signal(String name) throws IOException, InterruptedException {
        List<String> command = List.of("kill", "-" + name, Long.toString(process.pid()));
        new ProcessBuilder(command).start().waitFor();
    }

    /** Waits until the entry answers a request with 200. */
    public void awaitServing(String path, long timeoutMs) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!isServing(path)) {
            if (System.nanoTime() - endNanos > 0 || !process.isAlive()) {
                throw new IOException("the entry " + node + " does not serve in time");
            }
            Thread.sleep(50);
        }
    }

    private boolean isServing(String path) {
        try (Caller caller = new Caller(firstPort)) {
            return caller.post("ready-" + node + "-" + System.nanoTime(), path, 2_000).status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static int freePorts() throws IOException {
        for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
            int first;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
                first = socket.getLocalPort();
            }
            if (areFree(first)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first) {
        for (int port = first; port < first + PORTS; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(IP))) {
                socket.getLocalPort();
            } catch (IOException | IllegalArgumentException e) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
