package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SharedRetryBudgetTest {

    private static final double RATIO = 0.2;
    private static final int RESTART_EVERY = 500;
    private static final double ALLOWANCE = 40;
    private static final long WINDOW_MS = 10_000;
    private static final long TICK_MS = 20;
    private static final long MAX_WAIT_MS = 1_500;
    private static final long DECISIONS_MS = 11_000;
    private static final long LONG_AGO_NANOS = -TimeUnit.MILLISECONDS.toNanos(WINDOW_MS);

    private static int taken(SharedRetryBudget budget, int tries, int entries, long nowNanos) {
        int taken = 0;
        for (int i = 0; i < tries; i++) {
            taken += tryRetry(budget, entries, nowNanos) ? 1 : 0;
        }
        return taken;
    }

    /** Decides on a retry and sends it at once. */
    private static boolean tryRetry(SharedRetryBudget budget, int entries, long nowNanos) {
        return budget.tryReserve(entries, nowNanos) && budget.trySend(entries, nowNanos);
    }

    @Test
    void dividesTheAllowanceAmongEntries() {
        SharedRetryBudget budget =
                new SharedRetryBudget(LONG_AGO_NANOS, RATIO, ALLOWANCE, WINDOW_MS);
        assertThat(taken(budget, 100, 4, 0)).isEqualTo(10);
    }

    @Test
    void growsWithRequests() {
        SharedRetryBudget budget = new SharedRetryBudget(LONG_AGO_NANOS, RATIO, 0, WINDOW_MS);
        for (int i = 0; i < 50; i++) {
            budget.onRequest(0);
        }
        assertThat(taken(budget, 100, 4, 0)).isEqualTo(10);
    }

    @Test
    void refillsAfterAWindow() {
        SharedRetryBudget budget =
                new SharedRetryBudget(LONG_AGO_NANOS, RATIO, ALLOWANCE, WINDOW_MS);
        assertThat(taken(budget, 100, 1, 0)).isEqualTo(40);
        long later = TimeUnit.MILLISECONDS.toNanos(WINDOW_MS * 12 / 10);
        assertThat(taken(budget, 100, 1, later)).isEqualTo(40);
    }

    @Test
    void givesThePartOfAnEntryThatLeftToNobodyWithinTheWindow() {
        SharedRetryBudget leaving = new SharedRetryBudget(LONG_AGO_NANOS, RATIO, 40, WINDOW_MS);
        SharedRetryBudget staying = new SharedRetryBudget(LONG_AGO_NANOS, RATIO, 40, WINDOW_MS);
        staying.onEntries(2, 0);
        int used = taken(leaving, 100, 2, 0);
        long soonNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MS / 2);
        assertThat(used + taken(staying, 100, 1, soonNanos)).isAtMost(40);
        long laterNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MS * 12 / 10);
        assertThat(taken(staying, 100, 1, laterNanos)).isEqualTo(20);
    }

    /** Simulates several entries and checks the retries to one service in each sliding window. */
    @Property(tries = 200)
    void allEntriesTogetherStayWithinTheLimitInEveryWindow(@ForAll long seed) {
        assertEveryWindowIsWithinTheLimit(seed, false);
    }

    /** The same with entries that start again, so that their retries come at different times. */
    @Property(tries = 200)
    void entriesThatStartAgainStayWithinTheLimitInEveryWindow(@ForAll long seed) {
        assertEveryWindowIsWithinTheLimit(seed, true);
    }

    /**
     * Entries that use up their parts some seconds apart, each by the requests of its own window.
     */
    @Test
    void entriesOutOfStepStayWithinTheLimitInEveryWindow() {
        assertEveryWindowIsWithinTheLimit(-6777274720851188867L, true);
        assertEveryWindowIsWithinTheLimit(204, true);
    }

    /** The retries before a restart come later in the window than the requests they rely on. */
    @Test
    void anEntryThatStartsAgainStaysWithinTheLimitInEveryWindow() {
        assertEveryWindowIsWithinTheLimit(335065, true);
    }

    @Test
    void givesNothingTwiceToAnEntryThatStartsAgain() {
        SharedRetryBudget before =
                new SharedRetryBudget(LONG_AGO_NANOS, RATIO, ALLOWANCE, WINDOW_MS);
        addRequests(before, 100, 0);
        long restartNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MS * 8 / 10);
        int sentBefore = taken(before, 100, 1, restartNanos);
        SharedRetryBudget after = new SharedRetryBudget(restartNanos, RATIO, ALLOWANCE, WINDOW_MS);
        addRequests(after, 100, restartNanos);
        long laterNanos = restartNanos + TimeUnit.MILLISECONDS.toNanos(WINDOW_MS * 9 / 10);
        int sentAfter = taken(after, 100, 1, laterNanos);
        assertThat((double) sentBefore + sentAfter).isAtMost(RATIO * 100 + ALLOWANCE);
    }

    private static void addRequests(SharedRetryBudget budget, int count, long nowNanos) {
        for (int i = 0; i < count; i++) {
            budget.onRequest(nowNanos);
        }
    }

    private static void assertEveryWindowIsWithinTheLimit(long seed, boolean restarts) {
        Random random = new Random(seed);
        int entries = 1 + random.nextInt(6);
        List<SharedRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            budgets.add(new SharedRetryBudget(LONG_AGO_NANOS, RATIO, ALLOWANCE, WINDOW_MS));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long nowMs = 0;
        for (int i = 0; i < 3_000; i++) {
            nowMs += random.nextInt(20);
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
            int entry = random.nextInt(entries);
            if (restarts && random.nextInt(RESTART_EVERY) == 0) {
                budgets.set(entry, new SharedRetryBudget(nowNanos, RATIO, ALLOWANCE, WINDOW_MS));
            }
            SharedRetryBudget budget = budgets.get(entry);
            if (random.nextInt(3) > 0) {
                budget.onRequest(nowNanos);
                requests.add(nowMs);
            } else if (tryRetry(budget, entries, nowNanos)) {
                retries.add(nowMs);
            }
        }
        for (long end : retries) {
            long inWindow =
                    retries.stream().filter(at -> at > end - WINDOW_MS && at <= end).count();
            // The limit refers to the requests of this window or of the one half a window earlier,
            // whichever has more.
            long maxRequests =
                    Math.max(
                            count(requests, end - WINDOW_MS, end),
                            count(requests, end - 3 * WINDOW_MS / 2, end - WINDOW_MS / 2));
            assertWithMessage("seed %s, window to %s ms", seed, end)
                    .that((double) inWindow)
                    .isAtMost(RATIO * maxRequests + ALLOWANCE + entries);
        }
    }

    @Test
    void retriesThatAreDecidedTogetherAndSentLaterStayWithinTheLimitInEveryWindow() {
        SharedRetryBudget budget =
                new SharedRetryBudget(LONG_AGO_NANOS, RATIO, ALLOWANCE, WINDOW_MS);
        List<Long> sends = new ArrayList<>();
        List<Long> waiting = new ArrayList<>();
        for (long nowMs = 0; nowMs < 5 * WINDOW_MS; nowMs += TICK_MS) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
            if (nowMs % DECISIONS_MS == 0) {
                for (int i = 0; i < ALLOWANCE; i++) {
                    if (budget.tryReserve(1, nowNanos)) {
                        waiting.add(nowMs + (nowMs / DECISIONS_MS % 2 == 0 ? MAX_WAIT_MS : 0));
                    }
                }
            }
            long dueMs = nowMs;
            while (waiting.stream().anyMatch(at -> at <= dueMs) && budget.trySend(1, nowNanos)) {
                waiting.remove(waiting.stream().filter(at -> at <= dueMs).findFirst().get());
                sends.add(nowMs);
            }
        }
        for (long end : sends) {
            long inWindow = count(sends, end - WINDOW_MS, end);
            assertWithMessage("window to %s ms", end).that(inWindow).isAtMost((long) ALLOWANCE);
        }
        assertThat(sends.size()).isAtLeast((int) (3 * ALLOWANCE));
    }

    @Test
    void givesBackARetryThatIsNotSent() {
        SharedRetryBudget budget = new SharedRetryBudget(LONG_AGO_NANOS, RATIO, 1, WINDOW_MS);
        assertThat(budget.tryReserve(1, 0)).isTrue();
        assertThat(budget.tryReserve(1, 0)).isFalse();
        budget.release();
        assertThat(budget.tryReserve(1, 0)).isTrue();
    }

    private static long count(List<Long> times, long after, long until) {
        return times.stream().filter(at -> at > after && at <= until).count();
    }
}
