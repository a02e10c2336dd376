package io.pollenpath.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {

    @Test
    void retriesStayBelowTheirPartOfFirstAttempts() {
        RetryBudget budget = new RetryBudget();
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstAttempt(0.1);
            retries += budget.tryRetry(0.1) ? 1 : 0;
        }
        assertThat(retries).isAtMost(110);
        assertThat(retries).isAtLeast(100);
    }

    @Test
    void budgetOfZeroAllowsNoRetry() {
        assertThat(new RetryBudget().tryRetry(0)).isFalse();
    }

    @Test
    void callersAreSpreadFromTheWaitToTwiceTheWait() {
        SplittableRandom random = new SplittableRandom(1);
        int least = Integer.MAX_VALUE;
        int most = 0;
        for (int i = 0; i < 1_000; i++) {
            int ms = RetryAfter.jitteredMs(1_000, random);
            least = Math.min(least, ms);
            most = Math.max(most, ms);
        }
        assertThat(least).isIn(Range.closed(1_000, 1_050));
        assertThat(most).isIn(Range.closed(1_950, 2_000));
        assertThat(RetryAfter.jitteredMs(1e9, random)).isEqualTo(RetryAfter.MAX_MS);
    }
}
