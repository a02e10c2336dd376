package io.pollenpath.bench;

import io.pollenpath.util.Digests;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

/**
 * Harness that runs the whole system with stand-ins, each as a separate process on the loopback
 * address.
 */
public final class SystemHarness implements AutoCloseable {

    /** API key of the customer that the declarations contain. */
    public static final String KEY = "quickstart-key";

    /** Name of the model that the engines serve. */
    public static final String MODEL = "drafting";

    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 50;
    private static final int STATUS_OK = 200;
    private static final String CONTRACT_YAML_FORMAT =
            """
            apiVersion: pollenpath.io/v1
            kind: Contract
            metadata:
              name: alpha
            spec:
              keyDigests: ["%s"]
              share: 1
              requestsPerSecond: 100000
              burst: 100000
              maxConcurrent: 10000
              retryBudget: 0.2
              defaultKind: {priority: normal, repeatable: true, deadlineMs: 60000}
              kinds:
                filing: {priority: normal, repeatable: false, deadlineMs: 60000}
                alert: {priority: urgent, repeatable: true, deadlineMs: 10000}
            """;
    private static final String SERVER_YAML_FORMAT =
            """
            ---
            apiVersion: pollenpath.io/v1
            kind: BackendServer
            metadata:
              name: %s
            spec: {role: %s, target: %s, zone: zone-a, sideHost: 127.0.0.1, sidePort: %d}
            """;

    private final ProcessGroup group;
    private final BenchClient client = new BenchClient();
    private final Path declarations;
    private final List<ChildProcess> engines = new ArrayList<>();
    private final List<ChildProcess> sides = new ArrayList<>();
    private final List<ChildProcess> entries = new ArrayList<>();
    private final ChildProcess objectApi;
    private ChildProcess service;

    /**
     * Starts the stand-ins of the Object API and of the VM list.
     *
     * @param root the root directory of the project, not null
     * @throws IOException if a process does not start
     */
    public SystemHarness(Path root) throws IOException {
        group = new ProcessGroup(root);
        declarations = Files.createTempFile("pollenpath", ".yaml");
        Files.writeString(declarations, CONTRACT_YAML_FORMAT.formatted(Digests.sha256Hex(KEY)));
        objectApi = group.startStandin("object-api", "--name", "object-api");
        group.startStandin("vm-list", "--name", "vm-list");
    }

    /**
     * Starts an engine with its side process and adds the backend server to the declarations.
     *
     * @param name the name of the backend server
     * @throws IOException if a process does not start
     */
    public void addEngine(String name) throws IOException {
        ChildProcess engine = group.startStandin("engine", "--name", name);
        engines.add(engine);
        addSide(name, "engine", MODEL, engine);
    }

    /**
     * Starts a plain service with its side process and adds the backend server to the declarations.
     *
     * @param name the name of the backend server and of the service
     * @throws IOException if a process does not start
     */
    public void addService(String name) throws IOException {
        service = group.startStandin("service", "--name", name);
        addSide(name, "service", name, service);
    }

    private void addSide(String name, String role, String target, ChildProcess backend)
            throws IOException {
        ChildProcess side =
                group.startPollenpath(
                        "side",
                        "--name",
                        name,
                        "--zone",
                        "zone-a",
                        "--object-api",
                        "127.0.0.1:" + objectApi.port(),
                        "--backend",
                        "127.0.0.1:" + backend.port());
        sides.add(side);
        String yaml = SERVER_YAML_FORMAT.formatted(name, role, target, side.port());
        Files.writeString(declarations, Files.readString(declarations) + yaml);
    }

    /**
     * Starts an entry process.
     *
     * @param name the name of the entry
     * @throws IOException if it does not start
     */
    public void addEntry(String name) throws IOException {
        entries.add(
                group.startPollenpath(
                        "entry",
                        "--name",
                        name,
                        "--zone",
                        "zone-a",
                        "--object-api",
                        "127.0.0.1:" + objectApi.port()));
    }

    /**
     * Applies the declarations to the Object API.
     *
     * @return the result of the command
     * @throws IOException if the command does not start
     */
    public ProcessGroup.CliResult applyDeclarations() throws IOException {
        return runCommand("apply", "-f", declarations.toString(), "--operator", "test-bed");
    }

    /**
     * Runs an operator command against the Object API of this harness.
     *
     * @param subcommand the subcommand
     * @param arguments its flags and arguments
     * @return the result of the command
     * @throws IOException if the command does not start
     */
    public ProcessGroup.CliResult runCommand(String subcommand, String... arguments)
            throws IOException {
        List<String> all = new ArrayList<>();
        all.add(subcommand);
        all.addAll(List.of("--object-api", "127.0.0.1:" + objectApi.port()));
        all.addAll(List.of(arguments));
        return group.runCommand(all.toArray(String[]::new));
    }

    /**
     * Waits until every entry is ready.
     *
     * @throws IOException if an entry is not ready in time
     */
    public void awaitReady() throws IOException {
        for (ChildProcess entry : entries) {
            awaitReady(entry);
        }
    }

    private void awaitReady(ChildProcess entry) throws IOException {
        for (long waitedMs = 0; waitedMs < READY_TIMEOUT_MS; waitedMs += POLL_INTERVAL_MS) {
            if (isReady(entry)) {
                return;
            }
            Pause.forMs(POLL_INTERVAL_MS);
        }
        throw new IOException("entry did not become ready: " + entry.lines());
    }

    private boolean isReady(ChildProcess entry) {
        try {
            int status = client.get(entry.adminPort(), "/readyz", Map.of()).join().status();
            return status == STATUS_OK;
        } catch (CompletionException e) {
            return false;
        }
    }

    /**
     * Returns the client of this harness.
     *
     * @return the client
     */
    public BenchClient client() {
        return client;
    }

    /**
     * Returns the entry processes.
     *
     * @return the entries, in the order in which they were started
     */
    public List<ChildProcess> entries() {
        return entries;
    }

    /**
     * Returns the engine processes.
     *
     * @return the engines, in the order in which they were started
     */
    public List<ChildProcess> engines() {
        return engines;
    }

    /**
     * Returns the side processes.
     *
     * @return the side processes, in the order in which they were started
     */
    public List<ChildProcess> sides() {
        return sides;
    }

    /**
     * Returns the process of the Object API.
     *
     * @return the process of the stand-in
     */
    public ChildProcess objectApi() {
        return objectApi;
    }

    /**
     * Returns the process of the plain service added last.
     *
     * @return the process of the stand-in, null if no service was added
     */
    public ChildProcess service() {
        return service;
    }

    /**
     * Returns the output of all processes so far.
     *
     * @return the lines, grouped by process in the order in which the processes were started
     */
    public List<String> lines() {
        return group.lines();
    }

    @Override
    public void close() {
        client.close();
        group.close();
        try {
            Files.deleteIfExists(declarations);
        } catch (IOException e) {
            System.err.println("event=temporary_file_left path=" + declarations);
        }
    }
}
