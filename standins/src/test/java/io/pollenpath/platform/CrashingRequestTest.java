package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.StoreFault;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what several entries do with a request that ends each server that runs it. */
class CrashingRequestTest {

    private static final int ENTRIES = 3;
    private static final int ENGINES = 8;
    private static final int BLOCKING_CRASHES = 3;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final long LEARN_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long REPEAT_MS = 300;
    private static final int REPEATS = 30;

    /** Less than the time after which a server ends under a request. */
    private static final long SHORT_PATIENCE_MS = 30;

    private static final int BYSTANDERS = 4;
    private static final long BYSTANDER_PAUSE_MS = 60;
    private static final int LONG_CALLERS = 12;
    private static final int KILLS = 8;
    private static final long KILL_INTERVAL_MS = 1_000;
    private static final long MAX_REFUSAL_MS = 250;

    private static final long LONG_PAUSE_MS = 50;

    /** The first trial of a likely cause is due after 5 s. */
    private static final long SERVED_AGAIN_MS = 6_500;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicBoolean ended = new AtomicBoolean();
    private EntryFleet fleet;

    /** What else happens while the request comes again and again. */
    enum Disturbance {
        NONE,
        STORE_AWAY,
        STORE_SILENT,
        ENTRY_RESTARTED
    }

    private void start(int engines) throws IOException {
        fleet = new EntryFleet(ENTRIES, engines);
    }

    @AfterEach
    void stop() throws IOException {
        ended.set(true);
        callers.shutdownNow();
        fleet.close();
    }

    private CompletableFuture<List<EntryFleet.Answer>> repeat(
            String caller, String path, long pauseMs, int times) {
        return CompletableFuture.supplyAsync(
                () -> {
                    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
                    List<EntryFleet.Answer> answers = new ArrayList<>();
                    for (int i = 0; i < times && !ended.get(); i++) {
                        answers.add(fleet.call(random.nextInt(ENTRIES), caller + "-" + i, path));
                        Pause.forMs(pauseMs);
                    }
                    return answers;
                },
                callers);
    }

    private void disturb(Disturbance disturbance) {
        switch (disturbance) {
            case NONE -> {}
            case STORE_AWAY -> fleet.store().setFault(StoreFault.UNAVAILABLE);
            case STORE_SILENT -> fleet.store().setFault(StoreFault.SILENT);
            case ENTRY_RESTARTED -> {
                Pause.forMs(REPEATS * REPEAT_MS / 2);
                fleet.restartEntry(1);
            }
        }
    }

    private long blockedFromNanos() {
        List<Long> crashes =
                fleet.engines().stream()
                        .flatMap(engine -> engine.crashNanos().stream())
                        .sorted()
                        .toList();
        assertThat(crashes).isNotEmpty();
        int counted = Math.min(crashes.size(), BLOCKING_CRASHES);
        return crashes.get(counted - 1) + LEARN_NANOS;
    }

    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void sendsRequestThatCrashedThreeServersAtMostThreeTimesMore(Disturbance disturbance)
            throws Exception {
        start(ENGINES);
        List<CompletableFuture<List<EntryFleet.Answer>>> bystanders = new ArrayList<>();
        for (int i = 0; i < BYSTANDERS; i++) {
            String path = "/plain/bystander-" + i;
            bystanders.add(repeat("bystander-" + i, path, BYSTANDER_PAUSE_MS, Integer.MAX_VALUE));
        }
        CompletableFuture<List<EntryFleet.Answer>> repeats =
                repeat("crash", RestartingEngine.CRASHING_PATH, REPEAT_MS, REPEATS);
        disturb(disturbance);
        List<EntryFleet.Answer> answers = repeats.get();
        ended.set(true);

        long blockedFromNanos = blockedFromNanos();
        List<RestartingEngine.Arrival> arrivals = fleet.arrivals(RestartingEngine.CRASHING_PATH);
        long late = arrivals.stream().filter(a -> a.nanos() - blockedFromNanos > 0).count();
        assertWithMessage("arrivals after the third crash became known")
                .that(late)
                .isAtMost(MAX_LATE_ARRIVALS);
        assertRefusalsAreTrueAndAtOnce(answers, arrivals);
        for (CompletableFuture<List<EntryFleet.Answer>> bystander : bystanders) {
            assertServedLater(bystander.get(), blockedFromNanos);
        }
    }

    @Test
    void sendsRequestThatEndsServersThatListenAgainAtOnceAtMostThreeTimesMore() throws Exception {
        start(ENGINES);
        fleet.engines().forEach(engine -> engine.setRestartDelayMs(() -> 0));
        repeat("crash", RestartingEngine.CRASHING_PATH, REPEAT_MS, REPEATS).get();
        long blockedFromNanos = blockedFromNanos();
        long late =
                fleet.arrivals(RestartingEngine.CRASHING_PATH).stream()
                        .filter(arrival -> arrival.nanos() - blockedFromNanos > 0)
                        .count();
        assertThat(late).isAtMost(MAX_LATE_ARRIVALS);
    }

    @Test
    void sendsRequestWhoseCallerLeavesBeforeItsServerEndsAtMostThreeTimesMore() throws Exception {
        start(ENGINES);
        CompletableFuture<?> bystander =
                repeat("bystander", "/plain/bystander", BYSTANDER_PAUSE_MS, Integer.MAX_VALUE);
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        for (int i = 0; i < 2 * REPEATS; i++) {
            int entry = random.nextInt(ENTRIES);
            fleet.call(entry, "leave-" + i, RestartingEngine.CRASHING_PATH, SHORT_PATIENCE_MS);
            Pause.forMs(REPEAT_MS);
        }
        ended.set(true);
        bystander.get();
        long blockedFromNanos = blockedFromNanos();
        long late =
                fleet.arrivals(RestartingEngine.CRASHING_PATH).stream()
                        .filter(arrival -> arrival.nanos() - blockedFromNanos > 0)
                        .count();
        assertThat(late).isAtMost(MAX_LATE_ARRIVALS);
    }

    @Test
    void sendsRequestThatServersFailNowAndThenAtMostThreeTimesMore() throws Exception {
        start(ENGINES);
        repeat("fail", RestartingEngine.FAILING_OR_CRASHING_PATH, REPEAT_MS, REPEATS).get();
        long blockedFromNanos = blockedFromNanos();
        long late =
                fleet.arrivals(RestartingEngine.FAILING_OR_CRASHING_PATH).stream()
                        .filter(arrival -> arrival.nanos() - blockedFromNanos > 0)
                        .count();
        assertThat(late).isAtMost(MAX_LATE_ARRIVALS);
    }

    private static void assertRefusalsAreTrueAndAtOnce(
            List<EntryFleet.Answer> answers, List<RestartingEngine.Arrival> arrivals) {
        Set<String> sent =
                arrivals.stream()
                        .map(RestartingEngine.Arrival::requestId)
                        .collect(Collectors.toSet());
        List<EntryFleet.Answer> refused =
                answers.stream().filter(answer -> answer.status() == 503).toList();
        assertThat(refused).isNotEmpty();
        for (EntryFleet.Answer answer : refused) {
            assertWithMessage("refused and sent").that(sent).doesNotContain(answer.requestId());
            assertThat(answer.elapsedMs()).isLessThan(MAX_REFUSAL_MS);
            assertThat(Double.parseDouble(answer.retryAfter())).isGreaterThan(0.0);
        }
    }

    private static void assertServedLater(List<EntryFleet.Answer> answers, long fromNanos) {
        long sent = answers.stream().filter(answer -> answer.sentNanos() > fromNanos).count();
        long served =
                answers.stream()
                        .filter(answer -> answer.sentNanos() > fromNanos)
                        .filter(answer -> answer.status() == 200)
                        .count();
        assertThat(served).isAtLeast((long) (0.98 * sent));
    }

    @Test
    void goesOnSendingRequestWhoseAnswersAreLostByServersThatLive() throws Exception {
        start(ENGINES);
        List<EntryFleet.Answer> answers =
                repeat("lost", RestartingEngine.LOST_PATH, REPEAT_MS, 8).get();
        assertThat(fleet.arrivals(RestartingEngine.LOST_PATH).size()).isAtLeast(8);
        assertNeverBlocked(answers);
    }

    @Test
    void goesOnSendingRequestThatWasOnServersWithAnAnnouncedEnd() throws Exception {
        start(ENGINES);
        CompletableFuture<List<EntryFleet.Answer>> repeats =
                repeat("long", RestartingEngine.LONG_PATH, 0, Integer.MAX_VALUE);
        int ends = 2 * BLOCKING_CRASHES;
        for (int i = 0; i < ends; i++) {
            RestartingEngine running = awaitNextRun();
            running.announceEnd();
            Pause.forMs(RestartingEngine.LONG_WORK_MS * 2 / 3);
            running.kill();
        }
        ended.set(true);
        assertNeverBlocked(repeats.get());
    }

    private static void assertNeverBlocked(List<EntryFleet.Answer> answers) {
        for (EntryFleet.Answer answer : answers) {
            assertThat(answer.body()).doesNotContain("crashes_servers");
        }
    }

    /** Waits for the next arrival of a long request and returns the engine that runs it. */
    private RestartingEngine awaitNextRun() {
        int before = fleet.arrivals(RestartingEngine.LONG_PATH).size();
        while (fleet.arrivals(RestartingEngine.LONG_PATH).size() == before) {
            Pause.forMs(5);
        }
        long latest = fleet.arrivals(RestartingEngine.LONG_PATH).get(before).nanos();
        return fleet.engines().stream()
                .filter(engine -> engine.arrivals().stream().anyMatch(a -> a.nanos() == latest))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void servesRepeatedRequestsAfterServersWereKilledFromOutside() throws Exception {
        start(ENGINES);
        List<CompletableFuture<List<EntryFleet.Answer>>> longCallers = new ArrayList<>();
        for (int i = 0; i < LONG_CALLERS; i++) {
            String path = RestartingEngine.LONG_PATH + "?caller=" + i;
            longCallers.add(repeat("long-" + i, path, 50, Integer.MAX_VALUE));
        }
        long lastKillNanos = 0;
        for (int i = 0; i < KILLS; i++) {
            Pause.forMs(KILL_INTERVAL_MS);
            fleet.engines().get(i).kill();
            lastKillNanos = System.nanoTime();
        }
        Pause.forMs(7_000);
        ended.set(true);
        for (CompletableFuture<List<EntryFleet.Answer>> caller : longCallers) {
            long from = lastKillNanos + LEARN_NANOS;
            List<EntryFleet.Answer> later =
                    caller.get().stream().filter(answer -> answer.sentNanos() > from).toList();
            assertThat(later).isNotEmpty();
            for (EntryFleet.Answer answer : later) {
                assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void servesSoundRequestAgainThatWasAloneOnServersKilledFromOutside(int kills) throws Exception {
        start(ENGINES);
        CompletableFuture<List<EntryFleet.Answer>> caller =
                repeat("long", RestartingEngine.LONG_PATH, LONG_PAUSE_MS, Integer.MAX_VALUE);
        for (int i = 0; i < kills; i++) {
            RestartingEngine running = awaitNextRun();
            Pause.forMs(RestartingEngine.LONG_WORK_MS / 4);
            running.kill();
        }
        long killedNanos = System.nanoTime();
        Pause.forMs(SERVED_AGAIN_MS);
        ended.set(true);
        long servedAfterMs =
                caller.get().stream()
                        .filter(answer -> answer.status() == 200)
                        .map(answer -> endMs(answer) - TimeUnit.NANOSECONDS.toMillis(killedNanos))
                        .filter(afterMs -> afterMs > 0)
                        .findFirst()
                        .orElse(Long.MAX_VALUE);
        System.out.println(kills + " killed, served again after " + servedAfterMs + " ms");
        assertThat(servedAfterMs).isAtMost(SERVED_AGAIN_MS);
    }

    private static long endMs(EntryFleet.Answer answer) {
        return TimeUnit.NANOSECONDS.toMillis(answer.sentNanos()) + answer.elapsedMs();
    }
}
