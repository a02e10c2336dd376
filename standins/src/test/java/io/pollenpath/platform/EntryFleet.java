package io.pollenpath.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.state.group.VmCapacity;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Entries of one deployment with a store and engines that restart, each entry on its own IP. */
final class EntryFleet implements AutoCloseable {

    /** The service of all engines. */
    static final String SERVICE = "drafts";

    private static final int PAGE_SIZE = 100;

    /** An entry listens for callers, for its operators and for other entries. */
    private static final int PORTS_PER_ENTRY = 3;

    private static final int MAX_PORT_ATTEMPTS = 20;
    private static final int ANSWER_TIMEOUT_MS = 5_000;
    private static final long READY_TIMEOUT_MS = 5_000;
    private static final DeploymentBounds BOUNDS =
            new DeploymentBounds(8_000, 3_000, 2_000, 1_200, 2_000, 0.2, 10_000, 90, 1_500, true);

    private final NettyLoops loops = new NettyLoops(1);
    private final HttpClient client = new HttpClient(loops);
    private final PlatformStoreStandin store = new PlatformStoreStandin(PAGE_SIZE);
    private final List<RestartingEngine> engines = new ArrayList<>();
    private final List<AutoCloseable> startedEngines = new ArrayList<>();
    private final List<PlatformSettings> settings = new ArrayList<>();
    private final List<PlatformEntry> entries = new ArrayList<>();

    /**
     * The answer to one attempt of a caller.
     *
     * @param requestId the ID of the attempt
     * @param sentNanos the time at which the caller sent it, in nanoseconds
     * @param status the HTTP status; 0 if there was no answer
     * @param body the body; empty if there was no answer
     * @param retryAfter the time after which to come back, in seconds; empty if none was named
     * @param elapsedMs the time until the answer, in milliseconds
     */
    record Answer(
            String requestId,
            long sentNanos,
            int status,
            String body,
            String retryAfter,
            long elapsedMs) {}

    /** Starts the engines of a fleet. */
    interface EngineStarter {

        /** Starts engines that register in the store, and returns them. */
        List<? extends AutoCloseable> start(PlatformStoreStandin store) throws IOException;
    }

    EntryFleet(int entryCount, int engineCount) throws IOException {
        this(entryCount, engineCount, PlatformFixtures.manifest(1, SERVICE));
    }

    EntryFleet(int entryCount, int engineCount, ObjectNode manifest) throws IOException {
        for (int i = 0; i < engineCount; i++) {
            engines.add(new RestartingEngine("engine-" + i, SERVICE, store));
        }
        startedEngines.addAll(engines);
        startEntries(entryCount, manifest);
    }

    EntryFleet(int entryCount, ObjectNode manifest, EngineStarter starter) throws IOException {
        startedEngines.addAll(starter.start(store));
        startEntries(entryCount, manifest);
    }

    private void startEntries(int entryCount, ObjectNode manifest) throws IOException {
        store.put(StoreKinds.CONFIG, StoreKinds.NEWEST_CONFIG, manifest);
        int port = freePort(entryCount);
        for (int i = 0; i < entryCount; i++) {
            settings.add(settings(i, ipOf(i), port));
        }
        for (PlatformSettings entry : settings) {
            entries.add(new PlatformEntry(Path.of("unused.yaml"), entry, () -> {}));
        }
        awaitReady();
    }

    private PlatformSettings settings(int index, String ip, int port) {
        return new PlatformSettings(
                "entry-" + index,
                "zone-a",
                ip,
                Optional.of(new HttpAddress(ip, port)),
                Optional.empty(),
                port + 1,
                new HttpAddress("127.0.0.1", store.port()),
                20_000,
                Optional.empty(),
                Optional.empty(),
                new VmCapacity(1, 1_000_000),
                BOUNDS);
    }

    private static String ipOf(int entry) {
        return "127.0.1." + (entry + 1);
    }

    /**
     * Returns the first of the ports that an entry listens on, all free at each entry's address.
     */
    private static int freePort(int entryCount) throws IOException {
        for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
            int port = anyFreePort();
            if (areFree(port, entryCount)) {
                return port;
            }
        }
        throw new IOException("no free ports after " + MAX_PORT_ATTEMPTS + " attempts");
    }

    private static int anyFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ipOf(0)))) {
            return socket.getLocalPort();
        }
    }

    private static boolean areFree(int firstPort, int entryCount) throws IOException {
        for (int entry = 0; entry < entryCount; entry++) {
            for (int offset = 0; offset < PORTS_PER_ENTRY; offset++) {
                if (!isFree(ipOf(entry), firstPort + offset)) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean isFree(String ip, int port) throws IOException {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (BindException e) {
            return false;
        }
    }

    private void awaitReady() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        for (int i = 0; i < settings.size(); i++) {
            while (call(i, "ready-" + i, "/plain/ready").status() != 200) {
                if (System.nanoTime() > endNanos) {
                    throw new IllegalStateException("entry " + i + " serves nothing in time");
                }
                Pause.forMs(20);
            }
        }
    }

    /** Sends one attempt to an entry and waits for its answer. */
    Answer call(int entry, String requestId, String path) {
        return call(entry, requestId, path, ANSWER_TIMEOUT_MS);
    }

    /** Sends one attempt to an entry and closes the connection if the answer takes too long. */
    Answer call(int entry, String requestId, String path, long patienceMs) {
        return call(entry, requestId, path, Map.of(), patienceMs);
    }

    /** Sends one attempt with further headers to an entry. */
    Answer call(
            int entry,
            String requestId,
            String path,
            Map<String, String> headers,
            long patienceMs) {
        return call(entry, requestId, path, headers, "{}", patienceMs);
    }

    /** Sends one attempt with further headers and a body to an entry. */
    Answer call(
            int entry,
            String requestId,
            String path,
            Map<String, String> headers,
            String body,
            long patienceMs) {
        long sentNanos = System.nanoTime();
        CompletableFuture<HttpReply> reply =
                client.send(request(entry, requestId, path, headers, body));
        try {
            HttpReply answer = reply.get(patienceMs, TimeUnit.MILLISECONDS);
            return new Answer(
                    requestId,
                    sentNanos,
                    answer.status(),
                    new String(answer.body(), StandardCharsets.UTF_8),
                    answer.headers().get("Retry-After", ""),
                    elapsedMs(sentNanos));
        } catch (ExecutionException | TimeoutException e) {
            reply.cancel(true);
            return new Answer(requestId, sentNanos, 0, "", "", elapsedMs(sentNanos));
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted while waiting for an answer", e);
        }
    }

    private HttpClient.Request request(
            int entry,
            String requestId,
            String path,
            Map<String, String> moreHeaders,
            String body) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", bearer(PlatformFixtures.API_KEY));
        headers.putAll(moreHeaders);
        headers.put("Host", PlatformFixtures.HOST);
        headers.put("Request-Id", requestId);
        headers.put("Deadline-Ms", "3000");
        return new HttpClient.Request(
                settings.get(entry).callerAddress().orElseThrow(),
                "POST",
                path,
                headers,
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the header value that names an API key. */
    static String bearer(String apiKey) {
        return "Bearer " + apiKey;
    }

    private static long elapsedMs(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Ends an entry as a kill of its process does and starts it again. */
    void restartEntry(int entry) {
        entries.get(entry).close();
        entries.set(
                entry, new PlatformEntry(Path.of("unused.yaml"), settings.get(entry), () -> {}));
    }

    /** Returns where an entry listens for callers. */
    HttpAddress callerAddress(int entry) {
        return settings.get(entry).callerAddress().orElseThrow();
    }

    int entryCount() {
        return entries.size();
    }

    PlatformStoreStandin store() {
        return store;
    }

    List<RestartingEngine> engines() {
        return engines;
    }

    /** Returns the arrivals of a path at all engines, oldest first. */
    List<RestartingEngine.Arrival> arrivals(String path) {
        return engines.stream()
                .flatMap(engine -> engine.arrivals().stream())
                .filter(arrival -> arrival.path().equals(path))
                .sorted((a, b) -> Long.compare(a.nanos() - b.nanos(), 0))
                .toList();
    }

    @Override
    public void close() throws IOException {
        entries.forEach(PlatformEntry::close);
        client.close();
        loops.close();
        for (AutoCloseable engine : startedEngines) {
            closeEngine(engine);
        }
        store.close();
    }

    private static void closeEngine(AutoCloseable engine) {
        try {
            engine.close();
        } catch (Exception e) {
            throw new IllegalStateException("an engine can't be closed", e);
        }
    }
}
