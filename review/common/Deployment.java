package review.common;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Starts the project's programs with the commands of the deploy file, and ends them. */
public final class Deployment implements AutoCloseable {

    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final long POLL_MS = 20;
    private static final long STABLE_WINDOW_MS = 3_000;

    /** Added to the stable window, since a process takes a moment to start. */
    private static final long MAX_START_MS = 1_000;

    private final String storeAddress;
    private final Path folder;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Long> startedNanos = new ConcurrentHashMap<>();

    /** The addresses of one entry. */
    public record Entry(String node, String ip, int callerPort, int readyPort) {}

    /** Creates a deployment whose programs use a store. */
    public Deployment(String storeAddress) throws IOException {
        this.storeAddress = storeAddress;
        folder = Files.createTempDirectory("pollenpath-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Returns a port that is free, with those after it, at an address. */
    public static int freePorts(String ip, int count) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int first;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                first = socket.getLocalPort();
            }
            if (areFree(ip, first, count)) {
                return first;
            }
        }
        throw new IOException("no free ports at " + ip);
    }

    private static boolean areFree(String ip, int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
                socket.getLocalPort();
            } catch (IOException | IllegalArgumentException e) {
                return false;
            }
        }
        return true;
    }

    /** Starts an entry at an address of its own. */
    public Entry startEntry(int number) throws IOException {
        String ip = "127.0.1." + number;
        int port = freePorts(ip, 8);
        Entry entry = new Entry("edge-" + number, ip, port, port + 1);
        String listen =
                "Listen:\n  Front: \"" + ip + ":" + port + "\"\n  Ready: \"" + ip + ":" + (port + 1)
                        + "\"\n";
        start("entry", entry.node(), settings(entry.node(), "edge", ip, port + 2, listen));
        return entry;
    }

    /** Starts the process beside an engine, at an address of its own. */
    public void startSide(int number, String engineAddress, String service) throws IOException {
        String ip = "127.0.2." + number;
        String node = "side-" + number;
        String engine =
                "Listen: {}\napp: \"" + engineAddress + "\"\nService: \"" + service + "\"\n";
        start("side", node, settings(node, "side", ip, freePorts(ip, 8), engine));
    }

    private String settings(
            String node, String machineClass, String ip, int internalPort, String more) {
        return String.join(
                        "\n",
                        "Node: \"" + node + "\"",
                        "Role: \"" + machineClass + "\"",
                        "MachineClass: \"" + machineClass + "\"",
                        "Serves: [\"" + machineClass + "\"]",
                        "Ip: \"" + ip + "\"",
                        "Zone: \"zone-a\"",
                        "Region: \"region-a\"",
                        "Zones: {zone-a: \"region-a\"}",
                        "InternalPortRange: [" + internalPort + ", " + (internalPort + 5) + "]",
                        "Seeds: []",
                        "Bootstrap: true",
                        "Limits: {CpuShare: 0.57, CpuCores: 1, MemoryMb: 430, MaxFds: 4200,"
                                + " LinkMbps: 1000.0, DiskMb: 0}",
                        "Discovery: \"platform\"",
                        "HeartbeatMs: 1200",
                        "Bounds: {SeedLagS: 3, ReuseAfterS: 2, StableWindowMs: 3000, AckMs: 4000,"
                                + " CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200,"
                                + " ConfigApplyMs: 2000, RollbackSlackMs: 250, OuterMs: 5000,"
                                + " RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 90,"
                                + " RecoveryS: 12, PassMs: 120, stall_ms: 1500,"
                                + " RequireFencing: true}",
                        "Platform: {Address: \"" + storeAddress + "\", form: \"objects\","
                                + " WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20,"
                                + " ValueBytes: 1048576}",
                        more)
                + "\n";
    }

    private void start(String role, String node, String settings) throws IOException {
        Path file = folder.resolve(node + ".yaml");
        Files.writeString(file, settings);
        restart(role, node);
    }

    /** Starts the program of a machine once more, with the settings that it had. */
    public void restart(String role, String node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(deployCommand(role));
        builder.directory(ROOT.toFile());
        builder.environment().put("POLLENPATH_BOOT", folder.resolve(node + ".yaml").toString());
        builder.redirectErrorStream(true);
        File log = folder.resolve(node + ".log").toFile();
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(node, builder.start());
        startedNanos.put(node, System.nanoTime());
    }

    private static List<String> deployCommand(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(ROOT.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.trim().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run")) {
                String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(command.split(" ")));
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }

    /** Returns the folder with the settings and the logs of the programs. */
    public Path folder() {
        return folder;
    }

    /** Returns the process of a machine. */
    public Process process(String node) {
        return processes.get(node);
    }

    /**
     * Waits until an entry reports that it is ready and is in touch: it has run for StableWindowMs,
     * and nothing has disturbed it or the store meanwhile.
     */
    public void awaitInTouch(Entry entry, CaseRecord record) {
        await("entry " + entry.node() + " is ready", 30_000, () -> isReady(entry));
        await(
                "entry " + entry.node() + " has run for StableWindowMs",
                STABLE_WINDOW_MS + MAX_START_MS,
                () -> runningMs(entry.node()) >= STABLE_WINDOW_MS + MAX_START_MS);
        record.add(
                entry.node() + " is ready and in touch: it runs for " + runningMs(entry.node())
                        + " ms, StableWindowMs is " + STABLE_WINDOW_MS);
    }

    private long runningMs(String node) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos.get(node));
    }

    private static boolean isReady(Entry entry) {
        try {
            URI uri = URI.create("http://" + entry.ip() + ":" + entry.readyPort() + "/api/ready");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits for a condition; fails with {@link SetupException} if it doesn't hold in time. */
    public static void await(String what, long timeoutMs, BooleanSupplier condition) {
        if (!becomesTrue(timeoutMs, condition)) {
            throw new SetupException("not in " + timeoutMs + " ms: " + what);
        }
    }

    /** Waits for a condition; returns whether it held in time. */
    public static boolean becomesTrue(long timeoutMs, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                return false;
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                throw new SetupException("interrupted");
            }
        }
        return true;
    }

    /** Ends all programs that were started. */
    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
