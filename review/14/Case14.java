package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A waiting watch of the entries of engines is cut off, and a second later the entry of an engine
 * is removed, which goes on serving for {@code DrainMs} and a little longer.
 */
public final class Case14 {

    private static final String MANIFEST =
            """
            {"Version":7,"Routes":[\
            {"Name":"alert","Host":"notes.example","PathPrefix":"/alert/","Kind":"non_idempotent","TimeoutMs":1000,"SloMs":300,"Priority":1,"Service":"alerts","Attempts":1,"Public":false}],\
            "Services":[{"Name":"alerts","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}],\
            "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},\
            "Tenants":[{"Name":"crew","ApiKeys":["key-of-crew"],"Priority":1}]}""";

    /** One of them leaves: 0.125 of the servers. */
    private static final int ENGINES = 8;

    private static final long CALM_MS = 4_000;
    private static final long BEFORE_CUT_MS = 3_000;
    private static final long CUT_TO_REMOVAL_MS = 1_000;
    private static final long DRAIN_MS = 2_000;
    private static final long EXIT_MS = 2_120;
    private static final long AFTER_EXIT_MS = 1_000;
    private static final long PERIOD_MS = 4;
    private static final int MIN_SERVED = 800;

    private final Record record;
    private final boolean trouble;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger served = new AtomicInteger();
    private volatile long removedNanos;
    private volatile boolean ended;
    private int late;
    private int lostLate;
    private int front;

    private Case14(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case-14-");
        int code = 2;
        try (Record record = new Record(Path.of("review/14/record.txt"))) {
            code = new Case14(record, trouble).run(folder);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    private int run(Path folder) throws Exception {
        int storePort = Ports.free();
        front = Ports.free();
        int ready = Ports.free();
        try (Processes processes = new Processes(Path.of("").toAbsolutePath(), folder);
                Store store = new Store(storePort)) {
            store.put("config", "main", MANIFEST);
            List<LeavingEngine> engines = new ArrayList<>();
            for (int number = 1; number <= ENGINES; number++) {
                engines.add(new LeavingEngine("i-7f3a91c" + number, store, new EngineWork()));
            }
            Path settings =
                    Settings.entry(folder, "edge-a-1", front, ready, Ports.range(16), storePort);
            Undisturbed conditions =
                    new Undisturbed(record, processes.role("entry", "entry", settings), store);
            if (!Client.awaitReady(ready, 20_000)) {
                record.line("the entry is not ready");
                return 2;
            }
            Thread.sleep(CALM_MS);
            CompletableFuture<Void> traffic = CompletableFuture.runAsync(this::traffic, threads);
            Thread.sleep(BEFORE_CUT_MS);
            if (trouble) {
                store.cutWatches("servers");
                record.line("a waiting watch is cut off");
            }
            Thread.sleep(CUT_TO_REMOVAL_MS);
            leave(store, engines.get(0));
            traffic.join();
            if (!conditions.show("none") || served.get() < MIN_SERVED) {
                return 2;
            }
            return judge();
        }
    }

    private void leave(Store store, LeavingEngine engine) throws Exception {
        store.remove("servers", engine.id());
        removedNanos = System.nanoTime();
        record.line("the store acknowledges that the entry of engine " + engine.id() + " is removed");
        Thread.sleep(EXIT_MS);
        engine.exit();
        record.line("engine " + engine.id() + " exits");
        Thread.sleep(AFTER_EXIT_MS);
        ended = true;
    }

    private void traffic() {
        try {
            List<CompletableFuture<Void>> requests = new ArrayList<>();
            for (int number = 0; !ended; number++) {
                String id = "9c41d07be2a3" + number;
                requests.add(CompletableFuture.runAsync(() -> send(id), threads));
                Thread.sleep(PERIOD_MS);
            }
            requests.forEach(CompletableFuture::join);
            record.line(requests.size() + " requests");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(String id) {
        String request =
                "POST /alert/2f HTTP/1.1\r\nHost: notes.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1009\r\nAuthorization: Bearer key-of-crew\r\nContent-Length: 4\r\n\r\nweld"
                        .formatted(id);
        Client.Answer answer = Client.send(front, request, 3_000);
        if (answer.status() == 200) {
            served.incrementAndGet();
        } else {
            record.line("client of " + id + " got status " + answer.status());
        }
    }

    private synchronized int judge() {
        record.line(
                "%d requests reached the engine later than DrainMs after its removal; its exit ended %d of them"
                        .formatted(late, lostLate));
        record.line(late > 0 ? "DRAIN is broken" : "DRAIN holds");
        return late > 0 ? 1 : 0;
    }

    private final class EngineWork implements LeavingEngine.Listener {

        @Override
        public void onRun(String engine, String requestId) {
            long afterMs = (System.nanoTime() - removedNanos) / 1_000_000;
            if (removedNanos != 0 && engine.endsWith("1") && afterMs > DRAIN_MS) {
                record.line(
                        "engine %s runs %s %d ms after its entry was removed"
                                .formatted(engine, requestId, afterMs));
                synchronized (Case14.this) {
                    late++;
                }
            }
        }

        @Override
        public void onLost(String engine, String requestId) {
            record.line("the exit of engine " + engine + " ends " + requestId);
            synchronized (Case14.this) {
                lostLate++;
            }
        }
    }
}
