package io.pollenpath.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.transport.HttpAddress;
import io.pollenpath.transport.HttpClient;
import io.pollenpath.transport.HttpReply;
import io.pollenpath.transport.NettyLoops;
import io.pollenpath.util.Json;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Writes the class data sharing (CDS) archives of the roles that run on the platform. Each role
 * runs briefly against stand-ins, so that the archive contains the classes that it loads. A process
 * that starts with its archive loads these classes from the archive, which shortens its start.
 */
final class ClassArchive {

    private static final String HOST = "127.0.0.1";
    private static final String SERVICE = "drafts";
    private static final int REQUESTS = 20;
    private static final int STATUS_OK = 200;
    private static final long START_TIMEOUT_S = 60;
    private static final long RETRY_INTERVAL_MS = 100;
    private static final long ELECTION_WAIT_MS = 2_500;
    private static final long EXIT_TIMEOUT_S = 30;
    private static final long CALL_TIMEOUT_S = 5;
    private static final int PAGE_SIZE = 100;

    private final PrintStream out;
    private final Path target;

    ClassArchive(PrintStream out, Path root) {
        this.out = out;
        target = root.resolve("target");
    }

    int run() throws IOException {
        try (PlatformStoreStandin store = new PlatformStoreStandin(PAGE_SIZE);
                PlatformEngineStandin engine =
                        new PlatformEngineStandin("engine-1", new ConcurrentLinkedQueue<>())) {
            store.put("config", "main", PlatformFixtures.manifest(1, SERVICE));
            store.put("servers", "engine-1", PlatformFixtures.serverEntry(SERVICE, engine.port()));
            int callerPort = freePort();
            int adminPort = freePort();
            ObjectNode settings = settings(store.port(), engine.port(), callerPort, adminPort);
            boolean entry = train("entry", settings, () -> exerciseEntry(callerPort));
            boolean side = train("side", settings, () -> exerciseSide(adminPort));
            return entry && side ? 0 : 1;
        }
    }

    private static ObjectNode settings(int storePort, int enginePort, int callerPort, int adminPort)
            throws IOException {
        ObjectNode settings = Json.object();
        settings.put("Node", "trainer").put("Zone", "zone-a").put("Ip", HOST);
        settings.putObject("Listen")
                .put("Front", HOST + ":" + callerPort)
                .put("Ready", HOST + ":" + freePort());
        settings.putArray("InternalPortRange").add(adminPort).add(adminPort + 1);
        settings.putObject("Platform").put("Address", HOST + ":" + storePort);
        settings.putObject("Bounds").put("RequireFencing", true);
        return settings.put("app", HOST + ":" + enginePort).put("Service", SERVICE);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private boolean train(String role, ObjectNode settings, Callable<Boolean> exercise)
            throws IOException {
        Path file = Files.createTempFile("pollenpath", ".yaml");
        Path archive = target.resolve(role + ".jsa");
        Files.write(file, Json.bytes(settings));
        Files.deleteIfExists(archive);
        Process process = start(role, archive, file);
        try {
            boolean served = exercise.call();
            process.destroy();
            boolean ended = process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
            boolean written = ended && served && Files.exists(archive);
            out.println("archive=" + archive.getFileName() + " written=" + written);
            return written;
        } catch (Exception e) {
            out.println("archive=" + archive.getFileName() + " written=false cause=" + e);
            return false;
        } finally {
            process.destroyForcibly();
            Files.deleteIfExists(file);
        }
    }

    /**
     * Starts a role that writes its archive on exit. The other JVM flags are those that determine
     * whether a process can use the archive.
     */
    private Process start(String role, Path archive, Path settings) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-XX:ArchiveClassesAtExit=" + archive.toAbsolutePath());
        command.addAll(List.of("-Xshare:auto", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-jar", "target/pollenpath.jar", "platform-" + role));
        command.addAll(List.of("--boot", settings.toString()));
        return new ProcessBuilder(command)
                .directory(target.toAbsolutePath().getParent().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    /** Waits until an entry serves, then sends it requests of each kind. */
    private static boolean exerciseEntry(int port) throws Exception {
        try (NettyLoops loops = new NettyLoops(1);
                HttpClient client = new HttpClient(loops)) {
            if (!awaitOk(client, port, "/plain/x")) {
                return false;
            }
            for (int i = 0; i < REQUESTS; i++) {
                send(client, port, i % 2 == 0 ? "/plain/x" : "/stream/x");
            }
            send(client, port, "/nowhere/");
            return true;
        }
    }

    /** Waits until a side process listens, then gives it time to become leader of its group. */
    private static boolean exerciseSide(int adminPort) throws Exception {
        try (NettyLoops loops = new NettyLoops(1);
                HttpClient client = new HttpClient(loops)) {
            boolean listens = awaitOk(client, adminPort, "/healthz");
            Thread.sleep(ELECTION_WAIT_MS);
            return listens;
        }
    }

    private static boolean awaitOk(HttpClient client, int port, String path)
            throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_S);
        while (System.nanoTime() < endNanos) {
            try {
                if (send(client, port, path).status() == STATUS_OK) {
                    return true;
                }
            } catch (ExecutionException | TimeoutException e) {
                // The process is not listening yet, so the next attempt may succeed.
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
        return false;
    }

    private static HttpReply send(HttpClient client, int port, String path)
            throws InterruptedException, ExecutionException, TimeoutException {
        Map<String, String> headers =
                Map.of(
                        "Host",
                        PlatformFixtures.HOST,
                        "Request-Id",
                        "request",
                        "Authorization",
                        "Bearer " + PlatformFixtures.API_KEY,
                        "Deadline-Ms",
                        "2000");
        HttpClient.Request request =
                new HttpClient.Request(
                        new HttpAddress(HOST, port), "POST", path, headers, new byte[] {'x'});
        return client.send(request).get(CALL_TIMEOUT_S, TimeUnit.SECONDS);
    }
}
