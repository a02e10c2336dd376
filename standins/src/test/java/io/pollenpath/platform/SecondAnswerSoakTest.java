package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays servers that answer twice, and sound ones, with callers that go on calling. The seed is 61,
 * or the seeds are from 61 on, as many as the system property {@code soak.seeds} says.
 */
class SecondAnswerSoakTest {

    private static final int FIRST_SEED = 61;
    private static final int ENTRIES = 3;
    private static final int ENGINES = 4;
    private static final int CALLERS = 12;
    private static final long LOAD_MS = Long.getLong("soak.ms", 8_000);
    private static final long PATIENCE_MS = 5_000;
    private static final int ATTEMPTS = 3;
    private static final int TIMEOUT_MS = 3_000;
    private static final List<String> ROUTES = List.of("plain", "once", "stream", "stream-final");

    private static final List<String> ENDS = List.of("/letter", TwiceAnsweringEngine.QUOTING);

    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final List<TwiceAnsweringEngine> engines = new ArrayList<>();

    /** A play. */
    private record Play(SecondAnswer fault, long seed) {}

    /** A call that has ended. */
    private record Call(String path, EntryFleet.Answer answer) {}

    static Stream<Play> plays() {
        int seeds = Integer.getInteger("soak.seeds", 1);
        return LongStream.range(FIRST_SEED, FIRST_SEED + seeds)
                .boxed()
                .flatMap(
                        seed ->
                                Arrays.stream(SecondAnswer.values())
                                        .map(fault -> new Play(fault, seed)));
    }

    /** Guards against a success whose bytes are not, or not all, those of its own answer. */
    @ParameterizedTest
    @MethodSource("plays")
    void eachSuccessIsTheWholeAnswerOfItsServer(Play play) throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        try (EntryFleet fleet =
                new EntryFleet(
                        ENTRIES,
                        PlatformFixtures.manifestWithAttempts(
                                1, EntryFleet.SERVICE, ATTEMPTS, TIMEOUT_MS),
                        store -> startEngines(store, play))) {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MS);
            for (int i = 0; i < CALLERS; i++) {
                SplittableRandom random = new SplittableRandom(play.seed() * CALLERS + i);
                String name = "s" + play.seed() + "c" + i;
                callers.execute(() -> callUntil(endNanos, fleet, random, name));
            }
            callers.shutdown();
            callers.awaitTermination(LOAD_MS + PATIENCE_MS, TimeUnit.MILLISECONDS);
        } finally {
            callers.shutdownNow();
        }
        List<Call> wrong = calls.stream().filter(call -> !isRight(call)).toList();
        long answered = calls.stream().filter(call -> call.answer().status() == 200).count();
        int second = engines.stream().mapToInt(TwiceAnsweringEngine::secondAnswers).sum();
        String counts = play + ", " + second + " second answers, " + answered + " successes";
        System.out.println(counts + ", " + wrong.size() + " wrong");
        assertWithMessage(counts).that(wrong).isEmpty();
        if (play.fault() == SecondAnswer.NEVER) {
            assertWithMessage(counts).that(answered).isEqualTo(calls.size());
        } else {
            assertWithMessage(counts).that(second).isGreaterThan(CALLERS);
        }
        assertWithMessage(counts).that(answered).isGreaterThan(second / 2);
    }

    private List<TwiceAnsweringEngine> startEngines(PlatformStoreStandin store, Play play)
            throws IOException {
        for (int i = 0; i < ENGINES; i++) {
            engines.add(
                    new TwiceAnsweringEngine(
                            "engine-" + i, store, play.fault(), play.seed() * ENGINES + i));
        }
        return engines;
    }

    private void callUntil(
            long endNanos, EntryFleet fleet, SplittableRandom random, String caller) {
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            String id = caller + "n" + i + "x" + Long.toHexString(random.nextLong());
            String path =
                    "/"
                            + ROUTES.get(random.nextInt(ROUTES.size()))
                            + ENDS.get(random.nextInt(ENDS.size()));
            EntryFleet.Answer answer = fleet.call(random.nextInt(ENTRIES), id, path, PATIENCE_MS);
            calls.add(new Call(path, answer));
        }
    }

    private boolean isRight(Call call) {
        String id = call.answer().requestId();
        int runs = runs(id);
        boolean own = call.answer().body().equals(TwiceAnsweringEngine.bodyOf(id, call.path()));
        boolean right =
                switch (call.answer().status()) {
                    case 200 -> own;
                    case 0, 502, 504 -> true;
                    case 503 -> runs == 0;
                    default -> false;
                };
        return right && (runs < 2 || !call.path().startsWith("/once"));
    }

    private int runs(String requestId) {
        return engines.stream().mapToInt(e -> e.runs().getOrDefault(requestId, 0)).sum();
    }
}
