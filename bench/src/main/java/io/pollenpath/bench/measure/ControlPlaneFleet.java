package io.pollenpath.bench.measure;

import com.fasterxml.jackson.databind.JsonNode;
import io.pollenpath.bench.BenchClient;
import io.pollenpath.bench.ChildProcess;
import io.pollenpath.bench.ProcessGroup;
import io.pollenpath.bench.ProcessStats;
import io.pollenpath.util.Digests;
import io.pollenpath.util.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A fleet of real entry and side processes whose control-plane cost is measured while no request is
 * sent. A third of the members are entries; the others are side processes, which share one engine
 * stand-in and one Object API stand-in with them.
 */
final class ControlPlaneFleet implements AutoCloseable {

    private static final int CONCURRENT_STARTS = 8;
    private static final int CONTRACTS = 41;
    private static final int ZONES = 8;
    private static final long WARM_UP_MS = 30_000;
    private static final long MEASUREMENT_MS = 20_000;
    private static final double MS_PER_SECOND = 1_000;
    private static final double BYTES_PER_MB = 1 << 20;
    private static final double NANOS_PER_MS = 1e6;
    private static final double PERCENT = 100;
    private static final String CONTRACT =
            """
            ---
            apiVersion: pollenpath.io/v1
            kind: Contract
            metadata: {name: customer-%1$d}
            spec:
              keyDigests: ["%2$s"]
              share: 1
              requestsPerSecond: 10
              burst: 20
              maxConcurrent: 100
              retryBudget: 0.1
              defaultKind: {priority: normal, repeatable: true, deadlineMs: 60000}
            """;
    private static final String SERVER =
            """
            ---
            apiVersion: pollenpath.io/v1
            kind: BackendServer
            metadata: {name: %s}
            spec: {role: engine, target: drafting, zone: %s, sideHost: 127.0.0.1, sidePort: %d}
            """;

    private final int members;
    private final ProcessGroup group =
            new ProcessGroup(Path.of(System.getProperty("pollenpath.root", ".")));
    private final BenchClient client = new BenchClient();
    private final ChildProcess objectApi;
    private final List<ChildProcess> sides;
    private final List<ChildProcess> entries;

    ControlPlaneFleet(int members) throws IOException {
        this.members = members;
        objectApi = group.startStandin("object-api", "--name", "object-api");
        ChildProcess engine = group.startStandin("engine", "--name", "engine");
        String backend = "127.0.0.1:" + engine.port();
        sides = startAll("side", members - members / 3, "--backend", backend);
        applyDeclarations();
        entries = startAll("entry", members / 3);
    }

    private List<ChildProcess> startAll(String role, int count, String... flags)
            throws IOException {
        ExecutorService starters = Executors.newFixedThreadPool(CONCURRENT_STARTS);
        try {
            List<Callable<ChildProcess>> starts = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String[] command = startCommand(role, i, flags);
                starts.add(() -> group.startPollenpath(command));
            }
            List<ChildProcess> started = new ArrayList<>();
            for (Future<ChildProcess> start : starters.invokeAll(starts)) {
                started.add(start.get());
            }
            return started;
        } catch (ExecutionException e) {
            throw new IOException("failed to start a process of the fleet", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting processes", e);
        } finally {
            starters.shutdown();
        }
    }

    private String[] startCommand(String role, int index, String... flags) {
        List<String> command = new ArrayList<>();
        command.addAll(List.of(role, "--name", role + "-" + index));
        command.addAll(List.of("--zone", zoneOf(index)));
        command.addAll(List.of("--object-api", "127.0.0.1:" + objectApi.port()));
        command.addAll(List.of(flags));
        return command.toArray(String[]::new);
    }

    private static String zoneOf(int index) {
        return "zone-" + index % ZONES;
    }

    private void applyDeclarations() throws IOException {
        StringBuilder yaml = new StringBuilder();
        for (int i = 0; i < CONTRACTS; i++) {
            yaml.append(CONTRACT.formatted(i, Digests.sha256Hex("key-" + i)));
        }
        for (int i = 0; i < sides.size(); i++) {
            yaml.append(SERVER.formatted("side-" + i, zoneOf(i), sides.get(i).port()));
        }
        Path file = Files.createTempFile("pollenpath", ".yaml");
        try {
            Files.writeString(file, yaml);
            String address = "127.0.0.1:" + objectApi.port();
            ProcessGroup.CliResult applied =
                    group.runCommand(
                            "apply",
                            "--operator",
                            "bench",
                            "--object-api",
                            address,
                            "-f",
                            file.toString());
            if (applied.exitCode() != 0) {
                throw new IOException("failed to apply the declarations: " + applied.lines());
            }
        } finally {
            Files.delete(file);
        }
    }

    /**
     * Measures the processes over a fixed period, after a fixed delay in which the work of starting
     * ends.
     */
    FleetCost measure() throws IOException {
        pause(WARM_UP_MS);
        long callsBefore = storeCalls();
        List<Sample> entriesBefore = sample(entries);
        List<Sample> sidesBefore = sample(sides);
        pause(MEASUREMENT_MS);
        FleetCost.ProcessCost entryCost = meanCost(entriesBefore, sample(entries));
        FleetCost.ProcessCost sideCost = meanCost(sidesBefore, sample(sides));
        int watches = openWatches();
        double storeCallsPerSecond =
                (storeCalls() - callsBefore) / (MEASUREMENT_MS / MS_PER_SECOND) + watches;
        return new FleetCost(members, entryCost, sideCost, storeCallsPerSecond, watches);
    }

    private long storeCalls() {
        long sum = 0;
        for (JsonNode count : Json.parse(getFromObjectApi("/calls"))) {
            sum += count.asLong();
        }
        return sum;
    }

    private int openWatches() {
        return Json.parse(getFromObjectApi("/watches")).path("open").asInt();
    }

    private byte[] getFromObjectApi(String path) {
        return client.get(objectApi.port(), path, Map.of()).join().body();
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while measuring", e);
        }
    }

    /** The cumulative resource usage of one process at one time. */
    private record Sample(
            long atNanos, long cpuNanos, long residentBytes, long ioBytes, long ioCalls) {}

    private static List<Sample> sample(List<ChildProcess> processes) throws IOException {
        List<Sample> samples = new ArrayList<>();
        for (ChildProcess process : processes) {
            ProcessStats stats = new ProcessStats(process.pid());
            samples.add(
                    new Sample(
                            System.nanoTime(),
                            stats.cpuNanos(),
                            stats.residentBytes(),
                            stats.ioBytes(),
                            stats.ioCalls()));
        }
        return samples;
    }

    private static FleetCost.ProcessCost meanCost(List<Sample> before, List<Sample> after) {
        double cores = 0;
        double residentMb = 0;
        double bytesPerSecond = 0;
        double ioCallsPerSecond = 0;
        for (int i = 0; i < before.size(); i++) {
            Sample start = before.get(i);
            Sample end = after.get(i);
            double seconds = (end.atNanos() - start.atNanos()) / NANOS_PER_MS / MS_PER_SECOND;
            cores += (end.cpuNanos() - start.cpuNanos()) / NANOS_PER_MS / MS_PER_SECOND / seconds;
            residentMb += end.residentBytes() / BYTES_PER_MB;
            bytesPerSecond += (end.ioBytes() - start.ioBytes()) / seconds;
            ioCallsPerSecond += (end.ioCalls() - start.ioCalls()) / seconds;
        }
        int count = before.size();
        return new FleetCost.ProcessCost(
                cores / count * PERCENT,
                residentMb / count,
                bytesPerSecond / count,
                ioCallsPerSecond / count);
    }

    @Override
    public void close() {
        client.close();
        group.close();
    }
}
