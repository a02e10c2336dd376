package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what several entries do with requests that end servers, several of them at once. */
class SeveralCrashingRequestsTest {

    private static final int ENTRIES = 3;
    private static final int MANY_ENTRIES = 8;
    private static final int ENGINES = 6;
    private static final int CRASHING_REQUESTS = 5;
    private static final int BLOCKING_CRASHES = 3;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long REPEAT_INTERVAL_MS = 1_000;
    private static final long RUN_MS = 40_000;
    private static final long RESTART_ENTRY_AT_MS = 18_000;
    private static final int RESTARTED_ENTRY = 1;
    private static final int BYSTANDERS = 4;
    private static final long BYSTANDER_PAUSE_MS = 55;
    private static final long BYSTANDER_PATIENCE_MS = 5_000;
    private static final int SIMULTANEOUS_CALLERS = 40;
    private static final long SIMULTANEOUS_PAUSE_MS = 10;
    private static final long SIMULTANEOUS_RUN_MS = 15_000;
    private static final double MIN_SERVED = 0.98;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Map<String, Integer> entryOfRequest = new ConcurrentHashMap<>();
    private EntryFleet fleet;

    /** What the caller of one request does until the end of the run. */
    private record Caller(String path, long pauseMs, long[] patienceMs, long seed) {}

    @AfterEach
    void stop() throws IOException {
        ended.set(true);
        callers.shutdownNow();
        fleet.close();
    }

    private CompletableFuture<List<EntryFleet.Answer>> start(Caller caller) {
        return CompletableFuture.supplyAsync(() -> repeat(caller), callers);
    }

    private List<EntryFleet.Answer> repeat(Caller caller) {
        RandomGenerator random = new SplittableRandom(caller.seed());
        List<EntryFleet.Answer> answers = new ArrayList<>();
        while (!ended.get()) {
            int entry = random.nextInt(fleet.entryCount());
            String requestId = caller.path() + "#" + caller.seed() + "-" + answers.size();
            entryOfRequest.put(requestId, entry);
            long patienceMs = caller.patienceMs()[random.nextInt(caller.patienceMs().length)];
            answers.add(fleet.call(entry, requestId, caller.path(), patienceMs));
            Pause.forMs((long) (caller.pauseMs() * (0.8 + 0.4 * random.nextDouble())));
        }
        return answers;
    }

    private static String crashingPath(int index) {
        return RestartingEngine.CRASHING_PATH + "/" + index;
    }

    @ParameterizedTest
    @CsvSource({
        "1, 3000, '120 600 3000', 12",
        "1500, 3000, '120 600 3000', 22",
        "1500, 3000, '3000', 33"
    })
    void sendsEachOfFiveRequestsThatCrashedThreeServersAtMostThreeTimesMore(
            long minRestartMs, long maxRestartMs, String patienceMs, long seed) throws Exception {
        fleet = new EntryFleet(ENTRIES, ENGINES);
        RandomGenerator restarts = new SplittableRandom(seed);
        for (RestartingEngine engine : fleet.engines()) {
            engine.setRestartDelayMs(() -> restarts.nextLong(minRestartMs, maxRestartMs));
        }
        long[] patience = parse(patienceMs);
        for (int i = 0; i < CRASHING_REQUESTS; i++) {
            start(new Caller(crashingPath(i), REPEAT_INTERVAL_MS, patience, 10 * seed + i));
        }
        List<CompletableFuture<List<EntryFleet.Answer>>> bystanders = new ArrayList<>();
        for (int i = 0; i < BYSTANDERS; i++) {
            bystanders.add(
                    start(
                            new Caller(
                                    "/plain/bystander-" + i,
                                    BYSTANDER_PAUSE_MS,
                                    new long[] {BYSTANDER_PATIENCE_MS},
                                    100 * seed + i)));
        }
        Pause.forMs(RESTART_ENTRY_AT_MS);
        long entryRestartedNanos = System.nanoTime();
        fleet.restartEntry(RESTARTED_ENTRY);
        Pause.forMs(RUN_MS - RESTART_ENTRY_AT_MS);
        ended.set(true);

        Map<String, Long> lateArrivals = new HashMap<>();
        long lastBlockedNanos = 0;
        for (int i = 0; i < CRASHING_REQUESTS; i++) {
            String path = crashingPath(i);
            List<Long> crashes = crashesNanos(path);
            assertWithMessage("servers that ended under %s", path).that(crashes).isNotEmpty();
            if (crashes.size() >= BLOCKING_CRASHES) {
                long blockedFromNanos = crashes.get(BLOCKING_CRASHES - 1) + STABLE_NANOS;
                lateArrivals.put(path, countLate(path, blockedFromNanos, entryRestartedNanos));
            }
            long known = crashes.get(Math.min(crashes.size(), BLOCKING_CRASHES) - 1);
            lastBlockedNanos = Math.max(lastBlockedNanos, known + STABLE_NANOS);
        }
        for (Map.Entry<String, Long> late : lateArrivals.entrySet()) {
            assertWithMessage("late arrivals of %s in %s", late.getKey(), lateArrivals)
                    .that(late.getValue())
                    .isAtMost(MAX_LATE_ARRIVALS);
        }
        for (CompletableFuture<List<EntryFleet.Answer>> bystander : bystanders) {
            assertServed(bystander.get(), lastBlockedNanos);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {ENTRIES, MANY_ENTRIES})
    void sendsRequestOfManyCallersAtOnceAtMostThreeTimesMore(int entries) throws Exception {
        fleet = new EntryFleet(entries, ENGINES);
        String path = crashingPath(0);
        for (int i = 0; i < SIMULTANEOUS_CALLERS; i++) {
            start(new Caller(path, SIMULTANEOUS_PAUSE_MS, new long[] {BYSTANDER_PATIENCE_MS}, i));
        }
        Pause.forMs(SIMULTANEOUS_RUN_MS);
        ended.set(true);
        List<Long> crashes = crashesNanos(path);
        assertThat(crashes).isNotEmpty();
        int counted = Math.min(crashes.size(), BLOCKING_CRASHES);
        long blockedFromNanos = crashes.get(counted - 1) + STABLE_NANOS;
        assertThat(countLate(path, blockedFromNanos, blockedFromNanos)).isAtMost(MAX_LATE_ARRIVALS);
    }

    private static long[] parse(String numbers) {
        return Arrays.stream(numbers.split(" ")).mapToLong(Long::parseLong).toArray();
    }

    private List<Long> crashesNanos(String path) {
        return fleet.engines().stream()
                .flatMap(engine -> engine.ends().stream())
                .filter(end -> end.runningPaths().contains(path))
                .map(RestartingEngine.End::nanos)
                .sorted()
                .toList();
    }

    /** Counts arrivals, except those from an entry that was started shortly before. */
    private long countLate(String path, long fromNanos, long entryRestartedNanos) {
        return fleet.arrivals(path).stream()
                .filter(arrival -> arrival.nanos() > fromNanos)
                .filter(
                        arrival ->
                                entryOfRequest.get(arrival.requestId()) != RESTARTED_ENTRY
                                        || arrival.nanos() < entryRestartedNanos
                                        || arrival.nanos() > entryRestartedNanos + STABLE_NANOS)
                .count();
    }

    private static void assertServed(List<EntryFleet.Answer> answers, long fromNanos) {
        List<EntryFleet.Answer> later =
                answers.stream().filter(answer -> answer.sentNanos() > fromNanos).toList();
        assertThat(later).isNotEmpty();
        long served = later.stream().filter(answer -> answer.status() == 200).count();
        assertWithMessage("of %s requests of a bystander", later.size())
                .that(served)
                .isAtLeast((long) (MIN_SERVED * later.size()));
    }
}
