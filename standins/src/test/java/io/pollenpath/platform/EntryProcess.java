package io.pollenpath.platform;

import io.pollenpath.transport.HttpAddress;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry as a process of its own, with the memory that a deployment gives it. */
final class EntryProcess implements AutoCloseable {

    private static final String IP = "127.0.1.9";
    private static final int PORTS = 6;
    private static final int MAX_PORT_ATTEMPTS = 20;
    private static final long START_TIMEOUT_MS = 20_000;
    private static final long POLL_MS = 50;

    private final Path folder = Files.createTempDirectory("entry-process");
    private final HttpAddress callerAddress;
    private final Process process;

    /**
     * Starts an entry.
     *
     * @param storePort the port of the store on the loopback address
     * @param heapMb the largest heap, in mebibytes
     */
    EntryProcess(int storePort, int heapMb) throws IOException {
        this(storePort, heapMb, "entry-0");
    }

    EntryProcess(int storePort, int heapMb, String node) throws IOException {
        int port = freePorts();
        callerAddress = new HttpAddress(IP, port);
        Path settings = folder.resolve("settings.yaml");
        Files.writeString(settings, settings(node, port, storePort));
        ProcessBuilder builder =
                new ProcessBuilder(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx" + heapMb + "m",
                                "-Xss256k",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "io.pollenpath.cli.Main",
                                "platform-entry",
                                "--boot",
                                settings.toString()));
        builder.redirectErrorStream(true);
        builder.redirectOutput(logFile().toFile());
        process = builder.start();
    }

    private static String settings(String node, int port, int storePort) {
        return String.join(
                "\n",
                "Node: \"" + node + "\"",
                "Zone: \"zone-a\"",
                "Ip: \"" + IP + "\"",
                "Listen: {Front: \"" + IP + ":" + port + "\"}",
                "InternalPortRange: [" + (port + 1) + ", " + (port + PORTS - 1) + "]",
                "Bounds: {GraceS: 8, StableWindowMs: 3000, ConfigApplyMs: 2000,"
                        + " RetryBudgetRatio: 0.2, BudgetWindowS: 10, BudgetSlack: 90,"
                        + " stall_ms: 1500, RequireFencing: true}",
                "Platform: {Address: \"127.0.0.1:" + storePort + "\", HistoryS: 20}",
                "");
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
        throw new IOException("no free ports after " + MAX_PORT_ATTEMPTS + " attempts");
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

    /** Returns where the entry listens for callers. */
    HttpAddress callerAddress() {
        return callerAddress;
    }

    /** Returns where the entry serves its metrics. */
    HttpAddress metricsAddress() {
        return new HttpAddress(IP, callerAddress.port() + 1);
    }

    /** Waits until the entry answers a request with 200. */
    void awaitServing(String path) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (!isServing(path)) {
            if (System.nanoTime() > endNanos || !process.isAlive()) {
                throw new IOException("the entry serves nothing in time: " + log());
            }
            Pause.forMs(POLL_MS);
        }
    }

    private boolean isServing(String path) {
        try (RawCaller caller = new RawCaller(callerAddress)) {
            caller.send(RawCaller.request("ready", path, "{}"));
            return caller.read().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends the signal of a planned stop. */
    void stop() {
        process.destroy();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns all that the process has written. */
    String log() throws IOException {
        return Files.readString(logFile());
    }

    private Path logFile() {
        return folder.resolve("entry.log");
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        Files.deleteIfExists(logFile());
        Files.deleteIfExists(folder.resolve("settings.yaml"));
        Files.deleteIfExists(folder);
    }
}
