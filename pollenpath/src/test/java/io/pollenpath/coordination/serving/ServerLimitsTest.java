package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what entries send to servers that name a limit for all of them together. */
class ServerLimitsTest {

    private static final String SERVER = "engine-1";
    private static final int WINDOW_S = 4;
    private static final int SIMULATED_S = 60;
    private static final int TICK_MS = 5;

    private static ServerLimits entry(int index, List<String> names) {
        ServerLimits limits = new ServerLimits("entry-" + index, new Random(index));
        limits.setEntries(names);
        return limits;
    }

    private static List<String> names(int entries) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            names.add("entry-" + i);
        }
        return names;
    }

    private static long nanos(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    /** Sends whenever it may at every entry and returns the most sends in one window. */
    private static int mostInWindow(List<ServerLimits> entries, double idleS) {
        List<Long> sent = new ArrayList<>();
        for (long ms = (long) (1_000 * idleS); ms < 1_000 * SIMULATED_S; ms += TICK_MS) {
            long nowNanos = nanos(ms / 1e3);
            for (ServerLimits entry : entries) {
                if (entry.waitNanos(SERVER, nowNanos) == 0) {
                    entry.onSent(SERVER, nowNanos);
                    sent.add(nowNanos);
                }
            }
        }
        int most = 0;
        int first = 0;
        for (int last = 0; last < sent.size(); last++) {
            while (sent.get(last) - sent.get(first) >= nanos(WINDOW_S)) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    @ParameterizedTest
    @CsvSource({"1,4", "1,12", "1,100", "0,4", "0,50", "0.3,12", "2.5,5", "40,4", "40,100"})
    void allEntriesTogetherKeepTheLimitAlsoAfterAPause(double limit, int count) {
        List<ServerLimits> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerLimits entry = entry(i, names(count));
            entry.onAnswer(SERVER, OptionalDouble.of(limit), 0);
            entries.add(entry);
        }
        int allowed = (int) (1.5 * WINDOW_S * limit + 5);
        assertThat(mostInWindow(entries, 20)).isAtMost(allowed);
    }

    @ParameterizedTest
    @CsvSource({"1,4", "1,12", "2.5,5", "40,4"})
    void theLimitIsUsed(double limit, int count) {
        List<ServerLimits> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerLimits entry = entry(i, names(count));
            entry.onAnswer(SERVER, OptionalDouble.of(limit), 0);
            entries.add(entry);
        }
        assertThat(mostInWindow(entries, 0)).isAtLeast((int) (WINDOW_S * limit));
    }

    @Test
    void keepsTheLimitWhileOneEntryDoesNotKnowThatAnotherStopped() {
        List<ServerLimits> entries = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ServerLimits entry = entry(i, i == 3 ? names(4) : names(3));
            entry.onAnswer(SERVER, OptionalDouble.of(1), 0);
            entries.add(entry);
        }
        assertThat(mostInWindow(entries, 0)).isAtMost(11);
    }

    @Test
    void serverWithoutLimitTakesAllAtOnce() {
        ServerLimits limits = entry(0, names(3));
        assertThat(limits.onAnswer(SERVER, OptionalDouble.empty(), 0)).isFalse();
        assertThat(limits.waitNanos(SERVER, 0)).isEqualTo(0);
        assertThat(limits.onAnswer(SERVER, OptionalDouble.of(1), 0)).isTrue();
        assertThat(limits.waitNanos(SERVER, 0)).isGreaterThan(0);
        assertThat(limits.onAnswer(SERVER, OptionalDouble.of(1.01), 0)).isFalse();
        assertThat(limits.onAnswer(SERVER, OptionalDouble.empty(), 0)).isTrue();
        assertThat(limits.waitNanos(SERVER, 0)).isEqualTo(0);
    }

    @Test
    void theLatestAnswerHoldsWhicheverEntryGotIt() {
        ServerLimits one = entry(0, names(2));
        ServerLimits two = entry(1, names(2));
        one.onAnswer(SERVER, OptionalDouble.of(1), nanos(1));
        two.merge(one.report(nanos(2)), nanos(2));
        assertThat(two.limitOf(SERVER)).isEqualTo(OptionalDouble.of(1));
        two.onAnswer(SERVER, OptionalDouble.empty(), nanos(3));
        two.merge(one.report(nanos(4)), nanos(4));
        assertThat(two.limitOf(SERVER)).isEqualTo(OptionalDouble.empty());
        one.merge(two.report(nanos(4)), nanos(4));
        assertThat(one.limitOf(SERVER)).isEqualTo(OptionalDouble.empty());
    }

    @Test
    void expectsNoWaitWhileOneServerHasNoLimit() {
        ServerLimits limits = entry(0, names(1));
        List<String> servers = List.of(SERVER, "engine-2");
        limits.onAnswer(SERVER, OptionalDouble.of(1), 0);
        assertThat(limits.expectedWaitMs(servers, 9, 0)).isEqualTo(0.0);
        limits.onAnswer("engine-2", OptionalDouble.of(1), 0);
        assertThat(limits.expectedWaitMs(servers, 10, 0)).isAtLeast(5_000.0);
        assertThat(limits.expectedWaitMs(List.of(), 10, 0)).isEqualTo(0.0);
        limits.retainServers(Set.of("engine-2"));
        assertThat(limits.limitOf(SERVER)).isEqualTo(OptionalDouble.empty());
    }
}
