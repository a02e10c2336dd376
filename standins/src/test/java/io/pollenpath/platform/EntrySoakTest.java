package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pollenpath.standin.platform.PlatformEngineStandin;
import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays random requests and answers of all sizes against an entry process with little memory.
 * Callers go on with their connections, leave, or send slowly; servers refuse, cut, hold and repeat
 * answers, and send heads that HTTP doesn't know. The seeds are 1 and 2, or from 1 to the system
 * property {@code soak.seeds}.
 */
class EntrySoakTest {

    private static final int HEAP_MB = 64;
    private static final int ENGINES = 6;
    private static final int CALLERS = 24;
    private static final int MAX_BODY_BYTES = 900_000;
    private static final int MAX_ANSWER_BYTES = 2_000_000;
    private static final int SMALL_BYTES = 2_000;
    private static final long LOAD_MS = 6_000;
    private static final long SETTLE_MS = 12_000;
    private static final int TIMEOUT_MS = 2_000;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Queue<String> wrong = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("soak.seeds", 2));
    }

    /** Guards against memory that is not given back, and against answers that are not the own. */
    @ParameterizedTest
    @MethodSource("seeds")
    void eachAnswerIsTheOwnAndAllMemoryComesBack(long seed) throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        PlatformStoreStandin store = new PlatformStoreStandin(100);
        List<ScriptedEngine> engines = new ArrayList<>();
        ObjectNode manifest =
                PlatformFixtures.manifestWithAttempts(1, EntryFleet.SERVICE, 2, TIMEOUT_MS);
        manifest.withObject("/Limits").put("MaxBodyBytes", MAX_BODY_BYTES);
        store.put(StoreKinds.CONFIG, StoreKinds.NEWEST_CONFIG, manifest);
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new ScriptedEngine("engine-" + i, store, this::answer));
        }
        try (EntryProcess entry = new EntryProcess(store.port(), HEAP_MB)) {
            entry.awaitServing("/plain/0-ready");
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MS);
            for (int i = 0; i < CALLERS; i++) {
                SplittableRandom random = new SplittableRandom(seed * CALLERS + i);
                String name = "s" + seed + "c" + i;
                callers.execute(() -> callUntil(endNanos, entry, random, name));
            }
            callers.shutdown();
            assertThat(callers.awaitTermination(LOAD_MS + SETTLE_MS, TimeUnit.MILLISECONDS))
                    .isTrue();
            awaitMemoryBack(entry, seed);
            String log = entry.log();
            assertWithMessage("seed " + seed).that(wrong).isEmpty();
            assertWithMessage("seed " + seed).that(answered.get()).isGreaterThan(CALLERS);
            assertWithMessage("alive, seed " + seed).that(entry.isAlive()).isTrue();
            assertWithMessage("work failed, seed " + seed)
                    .that(log.contains("event=work_failed") || log.contains("OutOfMemory"))
                    .isFalse();
        } finally {
            callers.shutdownNow();
            for (ScriptedEngine engine : engines) {
                engine.close();
            }
            store.close();
        }
    }

    private static void awaitMemoryBack(EntryProcess entry, long seed) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MS);
        double bytes = metric(entry, "buffered_bytes");
        while (bytes + metric(entry, "buffers_waiting") > 0 && System.nanoTime() < endNanos) {
            Pause.forMs(100);
            bytes = metric(entry, "buffered_bytes");
        }
        assertWithMessage("bytes, seed " + seed).that(bytes).isEqualTo(0);
        assertWithMessage("waiting, seed " + seed)
                .that(metric(entry, "buffers_waiting"))
                .isEqualTo(0);
    }

    private static double metric(EntryProcess entry, String name) throws IOException {
        try (RawCaller caller = new RawCaller(entry.metricsAddress())) {
            caller.send("GET /metrics HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n");
            Matcher matcher =
                    Pattern.compile("\n\\w*" + name + "(?:\\{[^}]*})? ([0-9.eE+-]+)")
                            .matcher(caller.readAll());
            return matcher.find() ? Double.parseDouble(matcher.group(1)) : Double.NaN;
        }
    }

    /** Returns the body of the whole answer to a request; the path names its length. */
    private static String bodyOf(String id, String path) {
        String name = path.substring(path.lastIndexOf('/') + 1);
        int length = Integer.parseInt(name.substring(0, name.indexOf('-')));
        return (id + ".").repeat(length / (id.length() + 1) + 1);
    }

    /** Answers a path /route/LENGTH-KIND. */
    private String answer(PlatformEngineStandin.ReceivedRequest request) {
        String id = request.header("request-id");
        String kind = request.path().substring(request.path().indexOf('-') + 1);
        String head = "\r\nRequest-Id: " + id + "\r\nUpstream-Signature: proof\r\n";
        String body = bodyOf(id, request.path());
        String length = "Content-Length: " + body.length() + "\r\n\r\n";
        if (kind.equals("refused")) {
            return "HTTP/1.1 503 Full" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
        runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        String failure = "HTTP/1.1 500 Oops" + head + "Content-Length: 4\r\n\r\noops";
        return switch (kind) {
            case "chunks" ->
                    "HTTP/1.1 200 OK"
                            + head
                            + "Transfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(body.length())
                            + "\r\n"
                            + body
                            + "\r\n0\r\n\r\n";
            case "held" -> "HTTP/1.1 200 OK" + head + length + body.substring(0, body.length() / 2);
            case "unframed" -> "HTTP/1.1 200 OK" + head + "\r\n" + body;
            case "failed" -> failure;
            case "broken-status" -> "HTTP/1.1 000 OK" + head + length + body;
            case "broken-name" -> "HTTP/1.1 200 OK" + head + "X-Odd Name: a\r\n" + length + body;
            case "broken-fold" -> "HTTP/1.1 200 OK" + head + " folded\r\n" + length + body;
            case "spliced" -> "HTTP/1.1 200 OK\r\nX-Cut: " + failure;
            default -> "HTTP/1.1 200 OK" + head + "Keep-Alive: timeout=5\r\n" + length + body;
        };
    }

    private void callUntil(
            long endNanos, EntryProcess entry, SplittableRandom random, String name) {
        int number = 0;
        while (System.nanoTime() < endNanos) {
            try (RawCaller caller = new RawCaller(entry.callerAddress())) {
                boolean kept = true;
                while (kept && System.nanoTime() < endNanos) {
                    kept = call(caller, random, name + "n" + number++);
                }
            } catch (IOException e) {
                Pause.forMs(10);
            }
        }
    }

    /** Makes a call; returns whether the connection is used for another one. */
    private boolean call(RawCaller caller, SplittableRandom random, String id) throws IOException {
        String[] kinds = {
            "ok",
            "ok",
            "ok",
            "chunks",
            "held",
            "unframed",
            "failed",
            "spliced",
            "refused",
            "broken-status",
            "broken-name",
            "broken-fold"
        };
        String kind = kinds[random.nextInt(kinds.length)];
        int answerBytes = size(random, MAX_ANSWER_BYTES);
        String path = (random.nextBoolean() ? "/once/" : "/plain/") + answerBytes + "-" + kind;
        String body = "b".repeat(size(random, MAX_BODY_BYTES + MAX_BODY_BYTES / 10));
        String request =
                random.nextInt(3) == 0
                        ? RawCaller.chunkedRequest(id, path, body, 1 + random.nextInt(100_000))
                        : RawCaller.request(id, path, body);
        int sent = random.nextInt(8) == 0 ? random.nextInt(request.length()) : request.length();
        caller.send(request.substring(0, sent / 2));
        Pause.forMs(random.nextInt(8) == 0 ? random.nextInt(700) : 0);
        caller.send(request.substring(sent / 2, sent));
        if (sent < request.length()) {
            return false;
        }
        if (random.nextInt(10) == 0) {
            Pause.forMs(random.nextInt(300));
            return false;
        }
        check(caller.read(), id, path, body.length());
        return random.nextInt(6) != 0;
    }

    private static int size(SplittableRandom random, int maxBytes) {
        return random.nextInt(random.nextInt(3) == 0 ? maxBytes : SMALL_BYTES);
    }

    private void check(RawCaller.Answer answer, String id, String path, int bodyBytes) {
        answered.incrementAndGet();
        int ran = runs.containsKey(id) ? runs.get(id).get() : 0;
        boolean ok =
                switch (answer.status()) {
                    case 200 ->
                            answer.body().equals(bodyOf(id, path))
                                    && ran > 0
                                    && !path.contains("-broken");
                    case 413 -> bodyBytes > MAX_BODY_BYTES && ran == 0;
                    case 503 -> ran == 0;
                    case 500, 502, 504 -> true;
                    default -> false;
                };
        if (!ok || (path.startsWith("/once") && ran > 1) || answer.body().contains("oopsHTTP")) {
            wrong.add(id + " " + path + ": " + answer.status() + ", ran " + ran + " times");
        }
    }
}
