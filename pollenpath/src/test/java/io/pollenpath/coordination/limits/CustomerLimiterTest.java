package io.pollenpath.coordination.limits;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.state.Contract;
import io.pollenpath.state.PriorityClass;
import io.pollenpath.state.RequestKind;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class CustomerLimiterTest {

    private static final long SECOND = 1_000_000_000L;
    private static final RequestKind KIND =
            new RequestKind("default", PriorityClass.NORMAL, true, 1_000);

    private static Contract contract(double rate, int burst, int maxConcurrent) {
        return new Contract("a", List.of(), 1, rate, burst, maxConcurrent, 0.1, KIND, Map.of());
    }

    @Test
    void admitsTheBurstThenTheRate() {
        CustomerLimiter limiter = new CustomerLimiter();
        Contract contract = contract(10, 4, 1_000);
        for (int i = 0; i < 4; i++) {
            assertThat(limiter.admit(contract, 1, 0).admitted()).isTrue();
        }
        LimitDecision refused = limiter.admit(contract, 1, 0);
        assertThat(refused.code()).isEqualTo("rate_exceeded");
        assertThat(refused.waitMs()).isWithin(1).of(100);
        assertThat(limiter.admit(contract, 1, SECOND / 10).admitted()).isTrue();
        assertThat(limiter.admit(contract, 1, SECOND / 10).admitted()).isFalse();
    }

    @Test
    void boundsOpenRequestsUntilTheyAreReleased() {
        CustomerLimiter limiter = new CustomerLimiter();
        Contract contract = contract(1_000, 1_000, 4);
        assertThat(limiter.admit(contract, 0.5, 0).admitted()).isTrue();
        assertThat(limiter.admit(contract, 0.5, 0).admitted()).isTrue();
        assertThat(limiter.admit(contract, 0.5, 0).code()).isEqualTo("too_many_concurrent");
        limiter.release();
        assertThat(limiter.admit(contract, 0.5, 0).admitted()).isTrue();
    }

    @Test
    void changedContractAppliesToTheNextRequest() {
        CustomerLimiter limiter = new CustomerLimiter();
        assertThat(limiter.admit(contract(1, 1, 10), 1, 0).admitted()).isTrue();
        assertThat(limiter.admit(contract(1, 1, 10), 1, SECOND / 10).admitted()).isFalse();
        assertThat(limiter.admit(contract(100, 1, 10), 1, SECOND / 5).admitted()).isTrue();
    }

    @Test
    void partsOfEntriesWithTheSameViewAddUpToTheLimit() {
        for (AllowancePolicy policy : List.of(new EqualAllowance(), new DemandAllowance())) {
            double sum = 0;
            for (double own : new double[] {0, 5, 15, 80}) {
                sum += policy.fraction(new Demand(4, own, 100));
            }
            assertThat(sum).isWithin(1e-9).of(1);
        }
    }
}
