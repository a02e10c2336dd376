package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays the callers of several entries that start while the rank groups of their service form, so
 * that all servers refuse for a while. A caller that is refused returns once, at the time that it
 * was told.
 */
class RefusedCallersFleetTest {

    private static final int ENTRIES = 4;
    private static final int SLOTS = 128;
    private static final long STREAM_MS = 1_200;
    private static final long CALLER_TIMEOUT_MS = 8_000;
    private static final double ARRIVALS_PER_SECOND = 55;
    private static final long ARRIVALS_MS = 5_000;
    private static final long ON_TIME_QUEUE_MS = 200;
    private static final double LATE_WORTH = 0.49;

    /** Mean worth per request that the users state for the deployment with 8 ranks a group. */
    private static final double MIN_WORTH = 0.73;

    /** The stop cut off callers, which return while entries start. */
    private static final int CUT_CALLERS = 40;

    private static final long CUT_CALLERS_RETURN_MS = 800;
    private static final long MAX_QUEUE_MS = 1_400;

    private record Attempt(
            long atMs, long queuedAtMs, long firstAtMs, boolean isReturn, int entry) {

        private Attempt(long atMs, long firstAtMs, boolean isReturn, int entry) {
            this(atMs, atMs, firstAtMs, isReturn, entry);
        }

        private double worth() {
            return atMs - firstAtMs <= ON_TIME_QUEUE_MS ? 1 : LATE_WORTH;
        }

        private Attempt queued() {
            return new Attempt(atMs + 10, queuedAtMs, firstAtMs, isReturn, entry);
        }

        private boolean isExpired() {
            return atMs - queuedAtMs >= MAX_QUEUE_MS;
        }
    }

    /** The callers of one play, with entries that have seen nothing yet. */
    private static final class Play {
        private final long formMs;
        private final Random random;
        private final List<ServiceProgress> progress = new ArrayList<>();
        private final PriorityQueue<Attempt> attempts =
                new PriorityQueue<>(Comparator.comparingLong(Attempt::atMs));
        private final PriorityQueue<Long> streamEndsMs = new PriorityQueue<>();
        private double worth;

        private Play(long formMs, long seed) {
            this.formMs = formMs;
            random = new Random(seed);
            for (int entry = 0; entry < ENTRIES; entry++) {
                progress.add(new ServiceProgress());
            }
        }

        private int entry() {
            return random.nextInt(ENTRIES);
        }

        private void addNewCallers() {
            for (long ms = 0; ms < ARRIVALS_MS; ms++) {
                if (random.nextDouble() < ARRIVALS_PER_SECOND / 1_000) {
                    attempts.add(new Attempt(ms, ms, false, entry()));
                }
            }
        }

        private void addCutCallers() {
            for (int i = 0; i < CUT_CALLERS; i++) {
                long atMs = random.nextInt((int) CUT_CALLERS_RETURN_MS);
                attempts.add(new Attempt(atMs, atMs - CALLER_TIMEOUT_MS / 8, true, entry()));
            }
        }

        private void run() {
            while (!attempts.isEmpty()) {
                onAttempt(attempts.remove());
            }
        }

        private void onAttempt(Attempt attempt) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(attempt.atMs());
            ServiceProgress known = progress.get(attempt.entry());
            streamEndsMs.removeIf(endMs -> endMs <= attempt.atMs());
            boolean waits = attempt.isReturn() && known.shouldLastChanceWait(nowNanos);
            boolean formed = attempt.atMs() >= formMs;
            boolean full = formed && streamEndsMs.size() == SLOTS;
            if ((waits || full) && !attempt.isExpired()) {
                attempts.add(attempt.queued());
            } else if (formed && !full) {
                known.onProgress(nowNanos);
                streamEndsMs.add(attempt.atMs() + STREAM_MS);
                worth += attempt.worth();
            } else {
                known.onRefused(nowNanos);
                onRefused(attempt, known.isStalled(nowNanos));
            }
        }

        private void onRefused(Attempt attempt, boolean stalled) {
            if (attempt.isReturn()) {
                return;
            }
            long delayMs = QueueTimeouts.retryAfterMs(0, stalled, CALLER_TIMEOUT_MS, random);
            long returnMs = attempt.atMs() + Math.max(1, delayMs);
            attempts.add(new Attempt(returnMs, attempt.firstAtMs(), true, entry()));
        }
    }

    @ParameterizedTest
    @CsvSource({"1500, 1", "1500, 2", "1700, 3", "1900, 4"})
    void callersThatAreRefusedWhileGroupsFormAreServedWhenTheyReturn(long formMs, long seed) {
        Play play = new Play(formMs, seed);
        play.addNewCallers();
        int callers = play.attempts.size();
        play.run();
        assertWithMessage("mean worth, groups formed after %s ms, seed %s", formMs, seed)
                .that(play.worth / callers)
                .isAtLeast(MIN_WORTH);
    }

    /** Those whose time in the queue ends before the groups are open are lost. */
    @ParameterizedTest
    @CsvSource({"1000, 1", "1400, 2", "1400, 3"})
    void callersThatWereCutOffAreServedOnceGroupsHaveFormed(long formMs, long seed) {
        Play alone = new Play(formMs, seed);
        alone.addNewCallers();
        alone.run();
        Play play = new Play(formMs, seed);
        play.addNewCallers();
        play.addCutCallers();
        play.run();
        assertWithMessage("worth of callers cut off, seed %s", seed)
                .that(play.worth - alone.worth)
                .isAtLeast(MIN_WORTH * LATE_WORTH * CUT_CALLERS);
    }
}
