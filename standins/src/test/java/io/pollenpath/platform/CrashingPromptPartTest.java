package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.standin.platform.PlatformFixtures;
import io.pollenpath.standin.platform.PlatformStoreStandin;
import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests what several entries do with requests of which one part of the prompt ends each server that
 * begins to write on it, beside sound requests that share all other parts.
 */
class CrashingPromptPartTest {

    private static final int ENTRIES = 3;
    private static final int ENGINES = 9;
    private static final int RANKS = 16;
    private static final int ALLOWED_CRASHES = 5;
    private static final int CRASHES_OF_ONE_REQUEST = 3;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final double MIN_BEGUN = 0.5;
    private static final double MIN_BEGUN_AFTER_CRASH_WAVE = 0.98;
    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long RESTART_MS = 1_500;
    private static final long PATIENCE_MS = 5_000;
    private static final long SOUND_INTERVAL_MS = 25;
    private static final int SOUND_PER_CRASHING = 13;
    private static final int CALM_REQUESTS = 200;
    private static final int REQUESTS = 1_200;
    private static final int RESTART_ENTRY_AT_REQUEST = 700;
    private static final int RESTARTED_ENTRY = 1;
    private static final int SIMULTANEOUS_REQUESTS = 12;
    private static final int MANY_PARTS = 120;
    private static final String OWN_PART = "own";

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final Queue<CompletableFuture<Sent>> sent = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> entryOfRequest = new ConcurrentHashMap<>();
    private List<PromptEngine> engines;
    private EntryFleet fleet;
    private SharedRandom random;
    private Case test;
    private long entryRestartedNanos;

    /** What the requests have in common, and what else happens. */
    enum Case {
        NO_TWO_ALIKE(1, 7),
        ALIKE_BUT_FOR_THE_PROMPT(1, 17),
        TWO_PARTS(2, 27),
        TWO_PARTS_ALIKE_BUT_FOR_THE_PROMPT(2, 37),
        FIRST_PART(1, 47),
        ENTRY_KILLED(1, 57),
        MANY_AT_ONCE(1, 67),
        MANY_PARTS_EACH(1, 77),
        CRASHING_REQUEST_BESIDE(1, 87),
        RANK_GROUP(1, 97),
        RANK_GROUP_ALIKE_BUT_FOR_THE_PROMPT(1, 107),
        RANK_GROUP_TWO_PARTS(2, 117);

        private final int crashingParts;
        private final long seed;

        Case(int crashingParts, long seed) {
            this.crashingParts = crashingParts;
            this.seed = seed;
        }

        private boolean isRankGroup() {
            return name().startsWith("RANK_GROUP");
        }

        private boolean isAlike() {
            return name().endsWith("ALIKE_BUT_FOR_THE_PROMPT");
        }

        private List<String> crashingParts() {
            return IntStream.range(0, crashingParts).mapToObj(i -> "bad" + i).toList();
        }
    }

    /** One attempt of a caller. */
    private record Sent(boolean sound, EntryFleet.Answer answer) {}

    private void start(Case newTest) throws IOException {
        test = newTest;
        random = new SharedRandom(test.seed);
        PromptEngine.Behaviour behaviour =
                new PromptEngine.Behaviour(
                        Set.copyOf(test.crashingParts()),
                        new SharedRandom(test.seed + 1),
                        RESTART_MS,
                        0.3,
                        0.5,
                        test.isRankGroup() ? Optional.of(new EngineGroup()) : Optional.empty());
        fleet =
                new EntryFleet(
                        ENTRIES,
                        PlatformFixtures.manifestWithAttempts(
                                1, EntryFleet.SERVICE, 3, PATIENCE_MS),
                        store -> startEngines(behaviour, store));
    }

    private List<PromptEngine> startEngines(
            PromptEngine.Behaviour behaviour, PlatformStoreStandin store) throws IOException {
        engines = new ArrayList<>();
        for (int i = 0; i < (test.isRankGroup() ? RANKS : ENGINES); i++) {
            engines.add(new PromptEngine("engine-" + i, EntryFleet.SERVICE, behaviour, store));
        }
        return engines;
    }

    @AfterEach
    void stop() throws IOException {
        callers.shutdownNow();
        fleet.close();
    }

    private void send(int number, boolean sound, String path, String prompt) {
        String requestId = (sound ? "sound-" : "crashing-") + number + "-" + sent.size();
        int entry = random.nextInt(ENTRIES);
        entryOfRequest.put(requestId, entry);
        sent.add(
                CompletableFuture.supplyAsync(
                        () ->
                                new Sent(
                                        sound,
                                        fleet.call(
                                                entry,
                                                requestId,
                                                path,
                                                Map.of("Prompt-Prefix", prompt),
                                                PATIENCE_MS)),
                        callers));
    }

    private void sendSound(int number) {
        send(number, true, path(number), prompt(soundParts(), number));
    }

    private void sendCrashing(int number) {
        List<String> parts = soundParts();
        String bad = "bad" + random.nextInt(test.crashingParts);
        if (test == Case.FIRST_PART) {
            parts.set(0, bad);
        } else {
            parts.add(1 + random.nextInt(parts.size()), bad);
        }
        send(number, false, path(number + 1_000_000), prompt(parts, number + 1_000_000));
    }

    private String path(int number) {
        return test.isAlike() ? "/stream/same" : "/stream/" + number;
    }

    private List<String> soundParts() {
        List<String> parts = new ArrayList<>();
        parts.add("f" + random.nextInt(2));
        parts.add("s" + random.nextInt(4));
        for (int i = 0; test == Case.MANY_PARTS_EACH && i < MANY_PARTS; i++) {
            parts.add("m" + random.nextInt(100_000));
        }
        return parts;
    }

    private static String prompt(List<String> parts, int number) {
        return parts.stream().map(part -> part + ":40").collect(Collectors.joining(","))
                + ","
                + OWN_PART
                + number
                + ":250";
    }

    private void runTraffic() {
        for (int i = 0; i < (test == Case.RANK_GROUP_TWO_PARTS ? 2 : 1) * REQUESTS; i++) {
            sendSound(i);
            boolean crashing = i >= CALM_REQUESTS && i % SOUND_PER_CRASHING == 0;
            if (crashing) {
                sendCrashing(i);
            }
            if (test == Case.MANY_AT_ONCE && i == CALM_REQUESTS) {
                sendManyAtOnce(i);
            }
            if (test == Case.CRASHING_REQUEST_BESIDE && i >= CALM_REQUESTS && i % 40 == 0) {
                send(i, false, PromptEngine.CRASHING_PATH, prompt(soundParts(), i + 2_000_000));
            }
            if (test == Case.ENTRY_KILLED && i == RESTART_ENTRY_AT_REQUEST) {
                entryRestartedNanos = System.nanoTime();
                fleet.restartEntry(RESTARTED_ENTRY);
            }
            Pause.forMs(SOUND_INTERVAL_MS);
        }
    }

    private void sendManyAtOnce(int number) {
        for (int i = 0; i < SIMULTANEOUS_REQUESTS; i++) {
            sendCrashing(number + 10_000 + i);
        }
    }

    @ParameterizedTest
    @Execution(ExecutionMode.CONCURRENT)
    @EnumSource(Case.class)
    void sendsPartThatCrashedFiveServersAtMostThreeTimesMoreAndServesOthers(Case newTest)
            throws Exception {
        start(newTest);
        runTraffic();
        List<Sent> answers = sent.stream().map(CompletableFuture::join).toList();

        long lastCrashNanos = 0;
        for (String part : test.crashingParts()) {
            List<Long> ends = endNanos(part);
            assertWithMessage("ends under %s", part).that(ends).isNotEmpty();
            int counted = Math.min(ALLOWED_CRASHES, ends.size());
            lastCrashNanos = Math.max(lastCrashNanos, ends.get(counted - 1));
        }
        double begun = begunShare(answers, lastCrashNanos + 2 * STABLE_NANOS);
        String seen = seen(begun);
        for (String part : test.crashingParts()) {
            assertWithMessage("late arrivals of %s; %s", part, seen)
                    .that(lateArrivals(part))
                    .isAtMost(MAX_LATE_ARRIVALS);
        }
        assertWithMessage("sound requests begun; %s", seen).that(begun).isAtLeast(MIN_BEGUN);
        assertWithMessage("late arrivals of a crashing request; %s", seen)
                .that(lateArrivalsOfCrashingRequest())
                .isAtMost(MAX_LATE_ARRIVALS);
    }

    private long lateArrivalsOfCrashingRequest() {
        List<Long> ends =
                engines.stream()
                        .flatMap(engine -> engine.ends().stream())
                        .filter(end -> end.path().equals(PromptEngine.CRASHING_PATH))
                        .map(PromptEngine.End::nanos)
                        .sorted()
                        .toList();
        if (ends.size() < CRASHES_OF_ONE_REQUEST) {
            return 0;
        }
        long fromNanos = ends.get(CRASHES_OF_ONE_REQUEST - 1) + STABLE_NANOS;
        return engines.stream()
                .flatMap(engine -> engine.arrivals().stream())
                .filter(arrival -> arrival.path().equals(PromptEngine.CRASHING_PATH))
                .filter(arrival -> arrival.nanos() > fromNanos)
                .count();
    }

    private String seen(double begun) {
        StringBuilder seen = new StringBuilder();
        for (String part : test.crashingParts()) {
            seen.append(part).append(": ").append(endNanos(part).size()).append(" ended, ");
            seen.append(lateArrivals(part)).append(" late; ");
        }
        return seen.append("begun ").append(begun).toString();
    }

    private List<Long> endNanos(String part) {
        return engines.stream()
                .flatMap(engine -> engine.ends().stream())
                .filter(end -> end.parts().contains(part))
                .map(PromptEngine.End::nanos)
                .sorted()
                .toList();
    }

    private long lateArrivals(String part) {
        List<Long> ends = endNanos(part);
        if (ends.size() < ALLOWED_CRASHES) {
            return 0;
        }
        long fromNanos = ends.get(ALLOWED_CRASHES - 1) + STABLE_NANOS;
        return engines.stream()
                .flatMap(engine -> engine.arrivals().stream())
                .filter(arrival -> arrival.parts().contains(part) && arrival.nanos() > fromNanos)
                .filter(arrival -> !isFromRestartedEntry(arrival))
                .count();
    }

    private boolean isFromRestartedEntry(PromptEngine.Arrival arrival) {
        return entryRestartedNanos != 0
                && entryOfRequest.get(arrival.requestId()) == RESTARTED_ENTRY
                && arrival.nanos() > entryRestartedNanos
                && arrival.nanos() < entryRestartedNanos + STABLE_NANOS;
    }

    private Set<String> begun() {
        Set<String> begun = new HashSet<>();
        engines.forEach(engine -> begun.addAll(Set.copyOf(engine.begun())));
        return begun;
    }

    private double begunShare(List<Sent> answers, long fromNanos) {
        Set<String> begun = begun();
        List<String> later =
                answers.stream()
                        .filter(one -> one.sound() && one.answer().sentNanos() > fromNanos)
                        .map(one -> one.answer().requestId())
                        .toList();
        assertThat(later.size()).isAtLeast(20);
        return (double) later.stream().filter(begun::contains).count() / later.size();
    }

    /** Sends sound requests while engines end for a cause outside; returns when the last ended. */
    private long runSoundTrafficWhileEnginesEnd() throws IOException {
        long lastEndNanos = 0;
        for (int i = 0; i < REQUESTS / 2; i++) {
            sendSound(i);
            if (i >= CALM_REQUESTS && i < 2 * CALM_REQUESTS && i % 12 == 0) {
                engines.get(i / 12 % ENGINES).kill();
                lastEndNanos = System.nanoTime();
            }
            Pause.forMs(SOUND_INTERVAL_MS);
        }
        return lastEndNanos;
    }

    @Test
    void servesPromptPartsThatWereOnServersThatEndedForAnotherCause() throws Exception {
        start(Case.NO_TWO_ALIKE);
        long lastEndNanos = runSoundTrafficWhileEnginesEnd();
        List<Sent> answers = sent.stream().map(CompletableFuture::join).toList();
        assertThat(begunShare(answers, lastEndNanos + STABLE_NANOS))
                .isAtLeast(MIN_BEGUN_AFTER_CRASH_WAVE);
    }

    @Test
    void passesOnNoStreamAsWholeThatTheEndOfItsServerCutShort() throws Exception {
        start(Case.NO_TWO_ALIKE);
        runSoundTrafficWhileEnginesEnd();
        List<String> cutShort =
                sent.stream()
                        .map(CompletableFuture::join)
                        .map(Sent::answer)
                        .filter(answer -> answer.status() == 200)
                        .filter(answer -> !answer.body().contains("piece-" + PromptEngine.EVENTS))
                        .map(EntryFleet.Answer::requestId)
                        .toList();
        assertWithMessage("answers that look whole").that(cutShort).isEmpty();
    }
}
