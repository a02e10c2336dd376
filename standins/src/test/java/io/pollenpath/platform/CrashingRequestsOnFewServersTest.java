package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.StoreFault;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests what several entries do with requests that end the few servers of a service, while entries
 * are killed and started.
 */
class CrashingRequestsOnFewServersTest {

    private static final int ENTRIES = 3;
    private static final int BLOCKING_CRASHES = 3;
    private static final int MAX_LATE_ARRIVALS = 3;

    /** The number of different requests up to which the arrivals of all count as one. */
    private static final int MAX_COUNTED_TOGETHER = 2;

    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long CRASH_INTERVAL_MS = 1_000;
    private static final long PATIENCE_MS = 3_000;
    private static final long RUN_MS = 32_000;
    private static final long POLL_MS = 2;
    private static final long KILL_INTERVAL_MS = 6_500;
    private static final long KILL_DELAY_MS = 4;
    private static final int MAX_KILLS = 6;
    private static final long STORE_AWAY_BEFORE_END_MS = 24_000;
    private static final long STORE_BACK_BEFORE_END_MS = 14_000;
    private static final int SOUND_CALLERS = 3;
    private static final long SOUND_INTERVAL_MS = 330;
    private static final double MIN_SERVED = 0.5;
    private static final int ENGINES_OF_STARTED = 6;
    private static final int STARTED_SEED = 31;
    private static final int CALLS_TO_BLOCK = 8;
    private static final int STARTS = 6;
    private static final int STARTED_ENTRY = 1;
    private static final long STARTED_CALLS_MS = 1_000;
    private static final long MIN_RESTART_MS = 1_100;
    private static final long MAX_RESTART_MS = 2_600;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Map<String, Integer> entryOfRequest = new ConcurrentHashMap<>();
    private final List<Long> killsNanos = new ArrayList<>();
    private final List<Integer> killedEntries = new ArrayList<>();
    private EntryFleet fleet;
    private Paths paths;

    /** When entries are killed. */
    enum Kills {
        NONE,
        AT_INTERVALS,
        /** At intervals, while the store answers nothing for a while. */
        WHILE_STORE_IS_AWAY,
        /** Just after a request that has ended three servers has come from the entry. */
        AFTER_LATE_ARRIVAL
    }

    @AfterEach
    void stop() throws IOException {
        ended.set(true);
        callers.shutdownNow();
        fleet.close();
    }

    private void start(int entries, int servers, List<String> apiKeys, long seed)
            throws IOException {
        fleet =
                new EntryFleet(
                        entries,
                        servers,
                        PlatformFixtures.manifestWithAccounts(1, EntryFleet.SERVICE, apiKeys));
        RandomGenerator restarts = new SplittableRandom(seed);
        for (RestartingEngine engine : fleet.engines()) {
            engine.setRestartDelayMs(() -> restarts.nextLong(MIN_RESTART_MS, MAX_RESTART_MS));
        }
    }

    private static List<String> apiKeys(int count) {
        List<String> apiKeys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            apiKeys.add("further-key-" + i);
        }
        return apiKeys;
    }

    /** Where the requests of a run go. */
    enum Paths {
        APART,
        /** Sound and crashing requests have one path and differ in their queries. */
        SHARED;

        private String crashing(int index) {
            return this == APART
                    ? RestartingEngine.CRASHING_PATH + "/" + index
                    : "/plain/mixed" + RestartingEngine.CRASHING_QUERY + index;
        }

        private String sound(int index) {
            return this == APART ? "/plain/sound-" + index : "/plain/mixed?sound=" + index;
        }
    }

    private String crashingPath(int index) {
        return paths.crashing(index);
    }

    private CompletableFuture<List<EntryFleet.Answer>> repeat(
            String path, long intervalMs, List<String> apiKeys, boolean sameBody, long seed) {
        return CompletableFuture.supplyAsync(
                () -> {
                    RandomGenerator random = new SplittableRandom(seed);
                    List<EntryFleet.Answer> answers = new ArrayList<>();
                    while (!ended.get()) {
                        String requestId = path + "#" + seed + "-" + answers.size();
                        String body = sameBody ? "{}" : "{\"number\":" + answers.size() + "}";
                        answers.add(call(random, requestId, path, apiKeys, body));
                        Pause.forMs((long) (intervalMs * (0.8 + 0.4 * random.nextDouble())));
                    }
                    return answers;
                },
                callers);
    }

    private EntryFleet.Answer call(
            RandomGenerator random,
            String requestId,
            String path,
            List<String> apiKeys,
            String body) {
        int entry = random.nextInt(fleet.entryCount());
        entryOfRequest.put(requestId, entry);
        String apiKey = apiKeys.get(random.nextInt(apiKeys.size()));
        Map<String, String> headers = Map.of("Authorization", EntryFleet.bearer(apiKey));
        return fleet.call(entry, requestId, path, headers, body, PATIENCE_MS);
    }

    private void killEntries(Kills kills, int crashing) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MS);
        long nextKillNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_INTERVAL_MS);
        int seen = 0;
        boolean storeAway = kills == Kills.WHILE_STORE_IS_AWAY;
        while (System.nanoTime() < endNanos) {
            Pause.forMs(POLL_MS);
            if (storeAway) {
                fleet.store().setFault(storeFaultAt(endNanos - System.nanoTime()));
            }
            boolean mayKill = killsNanos.size() < MAX_KILLS;
            boolean atIntervals = kills == Kills.AT_INTERVALS || kills == Kills.WHILE_STORE_IS_AWAY;
            if (atIntervals && mayKill && System.nanoTime() > nextKillNanos) {
                nextKillNanos += TimeUnit.MILLISECONDS.toNanos(KILL_INTERVAL_MS);
                kill(killsNanos.size() % fleet.entryCount());
            }
            List<RestartingEngine.Arrival> late = lateArrivals(crashing);
            if (kills == Kills.AFTER_LATE_ARRIVAL && mayKill && late.size() > seen) {
                Pause.forMs(KILL_DELAY_MS);
                kill(entryOfRequest.get(late.get(late.size() - 1).requestId()));
            }
            seen = late.size();
        }
    }

    private static StoreFault storeFaultAt(long remainingNanos) {
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(remainingNanos);
        boolean away =
                remainingMs < STORE_AWAY_BEFORE_END_MS && remainingMs > STORE_BACK_BEFORE_END_MS;
        return away ? StoreFault.SILENT : StoreFault.NONE;
    }

    private void kill(int entry) {
        killsNanos.add(System.nanoTime());
        killedEntries.add(entry);
        fleet.restartEntry(entry);
    }

    /** Returns the arrivals later than three seconds after the third end, oldest first. */
    private List<RestartingEngine.Arrival> lateArrivals(int crashing) {
        List<RestartingEngine.Arrival> late = new ArrayList<>();
        for (int i = 0; i < crashing; i++) {
            late.addAll(lateArrivals(crashingPath(i), endsNanos(crashingPath(i))));
        }
        late.sort((a, b) -> Long.compare(a.nanos() - b.nanos(), 0));
        return late;
    }

    private List<RestartingEngine.Arrival> lateArrivals(String path, List<Long> endsNanos) {
        if (endsNanos.size() < BLOCKING_CRASHES) {
            return List.of();
        }
        long blockedFromNanos = endsNanos.get(BLOCKING_CRASHES - 1) + STABLE_NANOS;
        return fleet.arrivals(path).stream()
                .filter(arrival -> arrival.nanos() - blockedFromNanos > 0)
                .toList();
    }

    private List<Long> endsNanos(String path) {
        return fleet.engines().stream()
                .flatMap(engine -> engine.ends().stream())
                .filter(end -> end.runningPaths().contains(path))
                .map(RestartingEngine.End::nanos)
                .sorted()
                .toList();
    }

    /** Returns the times at which any server ended, oldest first. */
    private List<Long> endsNanos() {
        return fleet.engines().stream()
                .flatMap(engine -> engine.crashNanos().stream())
                .sorted()
                .toList();
    }

    private boolean isFromEntryKilledBefore(RestartingEngine.Arrival arrival) {
        int entry = entryOfRequest.get(arrival.requestId());
        for (int i = 0; i < killsNanos.size(); i++) {
            long sinceNanos = arrival.nanos() - killsNanos.get(i);
            if (killedEntries.get(i) == entry && sinceNanos > 0 && sinceNanos < STABLE_NANOS) {
                return true;
            }
        }
        return false;
    }

    @ParameterizedTest
    @Execution(ExecutionMode.CONCURRENT)
    @CsvSource({
        "3, 3, 2, 1, true, APART, NONE, 11",
        "3, 3, 2, 1, true, APART, AT_INTERVALS, 12",
        "3, 3, 2, 1, true, APART, AFTER_LATE_ARRIVAL, 13",
        "3, 3, 2, 1, true, APART, AFTER_LATE_ARRIVAL, 14",
        "3, 3, 2, 4, true, APART, AT_INTERVALS, 15",
        "3, 3, 1, 1, false, APART, NONE, 16",
        "3, 1, 1, 1, true, APART, AT_INTERVALS, 17",
        "3, 2, 2, 1, true, APART, AT_INTERVALS, 18",
        "3, 6, 5, 4, true, APART, AFTER_LATE_ARRIVAL, 19",
        "3, 3, 2, 1, true, SHARED, NONE, 21",
        "3, 3, 2, 1, true, SHARED, AT_INTERVALS, 22",
        "3, 3, 2, 4, true, SHARED, AFTER_LATE_ARRIVAL, 23",
        "3, 2, 2, 4, true, SHARED, AT_INTERVALS, 25",
        "3, 16, 2, 1, true, SHARED, AFTER_LATE_ARRIVAL, 26",
        "3, 6, 5, 4, true, SHARED, AT_INTERVALS, 27",
        "1, 3, 2, 4, true, SHARED, NONE, 28",
        "8, 3, 2, 4, true, SHARED, AFTER_LATE_ARRIVAL, 29",
        "3, 3, 2, 1, true, SHARED, WHILE_STORE_IS_AWAY, 30",
        "3, 3, 2, 4, true, APART, WHILE_STORE_IS_AWAY, 31",
    })
    void sendsEachRequestThatEndedThreeServersAtMostThreeTimesMore(
            int entries,
            int servers,
            int crashing,
            int accounts,
            boolean sameBody,
            Paths newPaths,
            Kills kills,
            long seed)
            throws Exception {
        paths = newPaths;
        List<String> apiKeys = apiKeys(accounts);
        start(entries, servers, apiKeys, seed);
        for (int i = 0; i < crashing; i++) {
            repeat(crashingPath(i), CRASH_INTERVAL_MS, apiKeys, sameBody, 100 * seed + i);
        }
        List<CompletableFuture<List<EntryFleet.Answer>>> sound = new ArrayList<>();
        for (int i = 0; i < SOUND_CALLERS; i++) {
            sound.add(repeat(paths.sound(i), SOUND_INTERVAL_MS, apiKeys, true, 1_000 * seed + i));
        }
        killEntries(kills, crashing);
        ended.set(true);

        List<String> seen = new ArrayList<>();
        long most = 0;
        long ofAll = 0;
        assertThat(endsNanos().size()).isAtLeast(BLOCKING_CRASHES);
        long fromNanos = endsNanos().get(BLOCKING_CRASHES - 1) + STABLE_NANOS;
        for (int i = 0; i < crashing; i++) {
            List<Long> endsNanos = endsNanos(crashingPath(i));
            long late =
                    lateArrivals(crashingPath(i), endsNanos).stream()
                            .filter(arrival -> !isFromEntryKilledBefore(arrival))
                            .count();
            seen.add(endsNanos.size() + " ended, " + late + " late");
            most = Math.max(most, late);
            ofAll +=
                    fleet.arrivals(crashingPath(i)).stream()
                            .filter(arrival -> arrival.nanos() - fromNanos > 0)
                            .filter(arrival -> !isFromEntryKilledBefore(arrival))
                            .count();
        }
        double served = servedShare(sound, fromNanos);
        String message =
                String.format(
                        "seed %d: %s; together %d ended, %d late, %.3f of the others served",
                        seed, seen, endsNanos().size(), ofAll, served);
        System.out.println(message);
        assertWithMessage(message).that(most).isAtMost(MAX_LATE_ARRIVALS);
        if (crashing <= MAX_COUNTED_TOGETHER) {
            assertWithMessage(message).that(ofAll).isAtMost(MAX_LATE_ARRIVALS);
        }
        assertWithMessage(message).that(served).isAtLeast(MIN_SERVED);
    }

    /** Plays the only server of a service, which two requests end while entries are killed. */
    @Test
    void sendsTwoRequestsThatEndTheOnlyServerAtMostThreeTimesMore() throws Exception {
        sendsEachRequestThatEndedThreeServersAtMostThreeTimesMore(
                3, 1, 2, 1, true, Paths.SHARED, Kills.AT_INTERVALS, 24);
    }

    @Test
    void startedEntrySendsNoRequestThatTheOthersHaveBlocked() throws Exception {
        paths = Paths.APART;
        start(ENTRIES, ENGINES_OF_STARTED, apiKeys(1), STARTED_SEED);
        RandomGenerator random = new SplittableRandom(STARTED_SEED);
        for (int i = 0; i < CALLS_TO_BLOCK; i++) {
            call(random, "block-" + i, crashingPath(0), apiKeys(1), "{}");
            Pause.forMs(POLL_MS);
        }
        long blockedFromNanos = System.nanoTime();
        for (int i = 0; i < STARTS; i++) {
            fleet.restartEntry(STARTED_ENTRY);
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STARTED_CALLS_MS);
            for (int j = 0; System.nanoTime() < endNanos; j++) {
                fleet.call(STARTED_ENTRY, "start-" + i + "-" + j, crashingPath(0));
                Pause.forMs(POLL_MS);
            }
        }
        List<RestartingEngine.Arrival> arrivals = fleet.arrivals(crashingPath(0));
        long late = arrivals.stream().filter(a -> a.nanos() - blockedFromNanos > 0).count();
        assertWithMessage("arrivals").that(arrivals.size() - late).isAtLeast(2L);
        assertThat(late).isAtMost(MAX_LATE_ARRIVALS);
    }

    private static double servedShare(
            List<CompletableFuture<List<EntryFleet.Answer>>> sound, long fromNanos)
            throws Exception {
        long sent = 0;
        long served = 0;
        for (CompletableFuture<List<EntryFleet.Answer>> caller : sound) {
            for (EntryFleet.Answer answer : caller.get()) {
                if (answer.sentNanos() - fromNanos > 0) {
                    sent++;
                    served += answer.status() == 200 ? 1 : 0;
                }
            }
        }
        return (double) served / sent;
    }
}
