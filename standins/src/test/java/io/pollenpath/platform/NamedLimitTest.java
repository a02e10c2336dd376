package io.pollenpath.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.util.Pause;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how many requests several entries send to engines that name a limit for all of them. */
class NamedLimitTest {

    private static final int ENTRIES = 3;
    private static final int ENGINES = 6;
    private static final int CALLERS = 9;
    private static final long CALLER_PAUSE_MS = 90;
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long LEARN_MS = 3_000;
    private static final long OBSERVED_MS = 6_000;
    private static final long MAX_REFUSAL_MS = 250;

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final List<EntryFleet.Answer> answers = new ArrayList<>();
    private EntryFleet fleet;

    @BeforeEach
    void start() throws IOException {
        fleet = new EntryFleet(ENTRIES, ENGINES);
        for (int i = 0; i < CALLERS; i++) {
            String caller = "caller-" + i;
            callers.execute(() -> callUntilEnded(caller));
        }
    }

    @AfterEach
    void stop() throws Exception {
        endCallers();
        fleet.close();
    }

    private void callUntilEnded(String caller) {
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        for (int i = 0; !ended.get(); i++) {
            EntryFleet.Answer answer =
                    fleet.call(random.nextInt(ENTRIES), caller + "-" + i, "/plain/" + caller);
            synchronized (answers) {
                answers.add(answer);
            }
            Pause.forMs(CALLER_PAUSE_MS);
        }
    }

    private void endCallers() throws InterruptedException {
        ended.set(true);
        callers.shutdown();
        callers.awaitTermination(6, TimeUnit.SECONDS);
    }

    /** Returns the largest number of arrivals at an engine in four seconds, from a time on. */
    private static int mostInWindow(RestartingEngine engine, long fromNanos) {
        List<Long> times =
                engine.arrivals().stream()
                        .map(RestartingEngine.Arrival::nanos)
                        .filter(nanos -> nanos - fromNanos >= 0)
                        .toList();
        int most = 0;
        for (int first = 0; first < times.size(); first++) {
            int last = first;
            while (last < times.size() && times.get(last) - times.get(first) < WINDOW_NANOS) {
                last++;
            }
            most = Math.max(most, last - first);
        }
        return most;
    }

    private static int allowed(double limitPerSecond) {
        return (int) (1.5 * 4 * limitPerSecond + 5);
    }

    private void assertAllServedSince(long fromNanos) {
        for (EntryFleet.Answer answer : answers) {
            if (answer.sentNanos() - fromNanos >= 0) {
                assertWithMessage(answer.toString()).that(answer.status()).isEqualTo(200);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "0.4, 0.4", "0, 0", "5, 5"})
    void serverGetsFromAllEntriesTogetherWhatItNames(String named, double limitPerSecond)
            throws Exception {
        RestartingEngine limited = fleet.engines().get(0);
        limited.nameLimit(named);
        Pause.forMs(LEARN_MS);
        long fromNanos = System.nanoTime();
        Pause.forMs(OBSERVED_MS);
        endCallers();
        assertThat(mostInWindow(limited, fromNanos)).isAtMost(allowed(limitPerSecond));
        assertAllServedSince(fromNanos);
    }

    @Test
    void limitHoldsWhileAnEntryStartsAgain() throws Exception {
        RestartingEngine limited = fleet.engines().get(0);
        limited.nameLimit("1");
        Pause.forMs(LEARN_MS);
        long fromNanos = System.nanoTime();
        Pause.forMs(1_000);
        fleet.restartEntry(1);
        Pause.forMs(OBSERVED_MS);
        assertThat(mostInWindow(limited, fromNanos)).isAtMost(allowed(1));
    }

    @Test
    void serverGetsItsShareAgainOnceItNamesNoLimit() throws Exception {
        RestartingEngine limited = fleet.engines().get(0);
        limited.nameLimit("1");
        Pause.forMs(LEARN_MS);
        limited.nameLimit("");
        Pause.forMs(LEARN_MS);
        long fromNanos = System.nanoTime();
        Pause.forMs(OBSERVED_MS);
        assertThat(mostInWindow(limited, fromNanos)).isAtLeast(30);
    }

    @Test
    void ignoresLimitThatIsNoNumber() throws Exception {
        RestartingEngine unclear = fleet.engines().get(0);
        unclear.nameLimit("soon");
        Pause.forMs(LEARN_MS);
        long fromNanos = System.nanoTime();
        Pause.forMs(OBSERVED_MS);
        assertThat(mostInWindow(unclear, fromNanos)).isAtLeast(30);
    }

    @Test
    void refusesAtOnceWhatLimitedServersCannotTakeInTime() throws Exception {
        fleet.engines().forEach(engine -> engine.nameLimit("1"));
        Pause.forMs(LEARN_MS);
        long fromNanos = System.nanoTime();
        Pause.forMs(OBSERVED_MS);
        endCallers();
        for (RestartingEngine engine : fleet.engines()) {
            assertThat(mostInWindow(engine, fromNanos)).isAtMost(allowed(1));
        }
        long served = 0;
        long slowRefusals = 0;
        for (EntryFleet.Answer answer : answers) {
            boolean counts = answer.sentNanos() - fromNanos >= 0;
            served += counts && answer.status() == 200 ? 1 : 0;
            boolean slow = answer.status() == 503 && answer.elapsedMs() > MAX_REFUSAL_MS;
            slowRefusals += counts && slow ? 1 : 0;
        }
        assertThat(served).isAtLeast(ENGINES * OBSERVED_MS / 1_000 / 2);
        assertThat(slowRefusals).isAtMost(answers.size() / 10);
    }
}
