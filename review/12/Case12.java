package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Engines stop within answers and go on with bytes that are no response. */
public final class Case12 {

    private static final String MANIFEST =
            """
            {"Version":7,"Routes":[\
            {"Name":"alert","Host":"notes.example","PathPrefix":"/alert/","Kind":"non_idempotent","TimeoutMs":1000,"SloMs":300,"Priority":1,"Service":"alerts","Attempts":1,"Public":false}],\
            "Services":[{"Name":"alerts","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}],\
            "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},\
            "Tenants":[{"Name":"crew","ApiKeys":["key-of-crew"],"Priority":1}]}""";

    private static final int ENGINES = 5;

    /** The dose of the site's file: share 0.6 of the servers, x 0.03, for 5 s. */
    private static final int SPOILING_ENGINES = 3;

    private static final double SPOILT_SHARE = 0.03;
    private static final long TROUBLE_MS = 5_000;
    private static final long CALM_MS = 4_000;
    private static final long PERIOD_MS = 10;

    private final Record record;
    private final boolean trouble;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, String> bodies = new ConcurrentHashMap<>();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private int front;

    private Case12(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("case-12-");
        int code = 2;
        try (Record record = new Record(Path.of("review/12/record.txt"))) {
            code = new Case12(record, trouble).run(folder);
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
            List<StutteringEngine> engines = new ArrayList<>();
            for (int number = 1; number <= ENGINES; number++) {
                engines.add(new StutteringEngine("i-7f3a91c" + number, store, bodies, record));
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
            double share = trouble ? SPOILT_SHARE : 0;
            engines.subList(0, SPOILING_ENGINES).forEach(engine -> engine.setSpoiltShare(share));
            List<CompletableFuture<Void>> requests = new ArrayList<>();
            for (int number = 0; number < TROUBLE_MS / PERIOD_MS; number++) {
                String id = "9c41d07be2a3" + number;
                requests.add(CompletableFuture.runAsync(() -> send(id), threads));
                Thread.sleep(PERIOD_MS);
            }
            requests.forEach(CompletableFuture::join);
            record.line(
                    "%d requests, %d successes, %d of them with a body that is not the engine's"
                            .formatted(requests.size(), successes.get(), mixed.get()));
            if (!conditions.show("none") || successes.get() < requests.size() / 2) {
                return 2;
            }
            record.line(mixed.get() > 0 ? "MIXED is broken" : "MIXED holds");
            return mixed.get() > 0 ? 1 : 0;
        }
    }

    private void send(String id) {
        String request =
                "POST /alert/2f HTTP/1.1\r\nHost: notes.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1009\r\nAuthorization: Bearer key-of-crew\r\nContent-Length: 4\r\n\r\nweld"
                        .formatted(id);
        Client.Answer answer = Client.send(front, request, 3_000);
        boolean success = answer.complete() && answer.status() == 200;
        successes.addAndGet(success ? 1 : 0);
        if (!success) {
            record.line("client of " + id + " got status " + answer.status());
        } else if (!answer.body().equals(bodies.get(id))) {
            mixed.incrementAndGet();
            record.line(
                    "client of %s got 200 with receipt '%s' and a body that ends in: %s"
                            .formatted(id, answer.signature(), end(answer.body())));
        }
    }

    private static String end(String body) {
        String end = body.substring(body.lastIndexOf("HTTP/"));
        return end.substring(0, Math.min(60, end.length())).replace("\r\n", "|");
    }
}
