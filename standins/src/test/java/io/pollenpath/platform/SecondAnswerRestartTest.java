package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays servers that answer twice while entry processes are stopped, killed and started again. The
 * seed is 61, or the seeds are from 61 on, as many as the system property {@code soak.seeds} says.
 */
class SecondAnswerRestartTest {

    private static final int FIRST_SEED = 61;
    private static final int HEAP_MB = 134;
    private static final int ENTRIES = 2;
    private static final int ENGINES = 6;
    private static final int CALLERS = 12;
    private static final int ATTEMPTS = 3;
    private static final int TIMEOUT_MS = 3_000;
    private static final int MAX_PAUSE_MS = 1_000;
    private static final long PATIENCE_MS = 15_000;
    private static final List<String> ROUTES = List.of("plain", "once", "stream", "stream-final");

    private final PlatformStoreStandin store = new PlatformStoreStandin(100);
    private final List<TwiceAnsweringEngine> engines = new ArrayList<>();
    private final AtomicReferenceArray<EntryProcess> entries = new AtomicReferenceArray<>(ENTRIES);
    private final Queue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final List<Future<?>> calling = new ArrayList<>();
    private volatile boolean ended;

    SecondAnswerRestartTest() throws IOException {}

    /** What a caller got for a request: a whole answer. */
    private record Outcome(String method, String id, String path, RawCaller.Answer answer) {}

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + Integer.getInteger("soak.seeds", 1));
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        for (int i = 0; i < ENTRIES; i++) {
            entries.get(i).close();
        }
        for (TwiceAnsweringEngine engine : engines) {
            engine.close();
        }
        store.close();
    }

    /** Guards against answers that look whole and are not, or runs that were denied, at an end. */
    @ParameterizedTest
    @MethodSource("seeds")
    void answersAreWholeAndOwnWhileEntriesEnd(long seed) throws Exception {
        start(seed);
        SplittableRandom random = new SplittableRandom(seed);
        Pause.forMs(random.nextInt(MAX_PAUSE_MS));
        entries.get(0).stop();
        Pause.forMs(random.nextInt(MAX_PAUSE_MS));
        entries.get(1).close();
        startEntry(1);
        awaitEnd(entries.get(0));
        startEntry(0);
        entries.get(0).close();
        startEntry(0);
        entries.get(1).stop();
        awaitEnd(entries.get(1));
        ended = true;
        for (Future<?> caller : calling) {
            caller.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
        }
        List<String> wrong = outcomes.stream().filter(o -> !isRight(o)).map(this::text).toList();
        long successes = outcomes.stream().filter(o -> o.answer().status() == 200).count();
        int second = engines.stream().mapToInt(TwiceAnsweringEngine::secondAnswers).sum();
        String counts = "seed " + seed + ", " + second + " second answers, " + successes;
        System.out.println(counts + " of " + outcomes.size() + " good, " + wrong.size() + " wrong");
        assertWithMessage(counts).that(wrong).isEmpty();
        assertWithMessage(counts).that(second).isGreaterThan(CALLERS);
        assertWithMessage(counts).that(successes).isGreaterThan(CALLERS);
    }

    private void start(long seed) throws IOException {
        store.put(
                StoreKinds.CONFIG,
                StoreKinds.NEWEST_CONFIG,
                PlatformFixtures.manifestWithAttempts(1, EntryFleet.SERVICE, ATTEMPTS, TIMEOUT_MS));
        SecondAnswer[] faults = SecondAnswer.values();
        for (int i = 0; i < ENGINES; i++) {
            SecondAnswer fault = faults[i % faults.length];
            String id = "engine-" + i;
            engines.add(new TwiceAnsweringEngine(id, store, fault, seed * ENGINES + i));
        }
        for (int i = 0; i < ENTRIES; i++) {
            startEntry(i);
        }
        for (int i = 0; i < CALLERS; i++) {
            SplittableRandom random = new SplittableRandom(seed * CALLERS + i);
            String name = "s" + seed + "c" + i;
            calling.add(callers.submit(() -> callUntilTheEnd(random, name)));
        }
    }

    private void startEntry(int index) throws IOException {
        EntryProcess entry = new EntryProcess(store.port(), HEAP_MB, "entry-" + index);
        entries.set(index, entry);
        entry.awaitServing("/plain/ready");
    }

    private static void awaitEnd(EntryProcess entry) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (entry.isAlive() && System.nanoTime() < endNanos) {
            Pause.forMs(10);
        }
        assertWithMessage("ended").that(entry.isAlive()).isFalse();
    }

    /** Uses each connection until its entry closes it or is gone. */
    private void callUntilTheEnd(SplittableRandom random, String name) {
        int number = 0;
        while (!ended) {
            EntryProcess entry = entries.get(random.nextInt(ENTRIES));
            try (RawCaller caller = new RawCaller(entry.callerAddress())) {
                while (!ended) {
                    number++;
                    call(caller, random, name + "n" + number);
                }
            } catch (IOException e) {
                Pause.forMs(10);
            }
        }
    }

    private void call(RawCaller caller, SplittableRandom random, String id) throws IOException {
        boolean head = random.nextInt(8) == 0;
        String end = random.nextBoolean() ? "/letter" : TwiceAnsweringEngine.QUOTING;
        String path = "/" + ROUTES.get(random.nextInt(ROUTES.size())) + end;
        if (head) {
            caller.send(RawCaller.head(id, path).replaceFirst("POST", "HEAD"));
            outcomes.add(new Outcome("HEAD", id, path, caller.readHead()));
        } else {
            caller.send(RawCaller.request(id, path, "{}"));
            outcomes.add(new Outcome("POST", id, path, caller.readWhole()));
        }
    }

    private boolean isRight(Outcome outcome) {
        int runs = runs(outcome.id());
        boolean right =
                switch (outcome.answer().status()) {
                    case 200 -> runs > 0 && isOwn(outcome);
                    case 503 -> runs == 0;
                    case 502, 504 -> true;
                    default -> false;
                };
        return right && (runs < 2 || !outcome.path().startsWith("/once"));
    }

    private static boolean isOwn(Outcome outcome) {
        RawCaller.Answer answer = outcome.answer();
        boolean namesItself = outcome.id().equals(answer.headers().get("request-id"));
        String body = TwiceAnsweringEngine.bodyOf(outcome.id(), outcome.path());
        String expected = outcome.method().equals("HEAD") ? "" : body;
        return namesItself && answer.body().equals(expected);
    }

    private String text(Outcome outcome) {
        return "run " + runs(outcome.id()) + " times, " + outcome;
    }

    private int runs(String requestId) {
        return engines.stream().mapToInt(e -> e.runs().getOrDefault(requestId, 0)).sum();
    }
}
