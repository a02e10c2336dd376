package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.coordination.RunAdmission.Arrival;
import io.pollenpath.coordination.RunAdmission.Decision;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RunAdmissionTest {

    private static final long INCARNATION = 7;
    private static final long RETENTION_MS = 1_000;

    private final RunLedger ledger = new RunLedger(TimeUnit.MILLISECONDS.toNanos(RETENTION_MS));
    private final RunAdmission admission =
            new RunAdmission(new GrantValidator(INCARNATION, 0, RETENTION_MS), ledger);

    private static Arrival arrival(int attempt, long incarnation, long timeMs) {
        return new Arrival("r", attempt, false, incarnation, timeMs);
    }

    private Decision submit(Arrival arrival, boolean accepting, long nowMs) {
        return admission.submit(arrival, accepting, TimeUnit.MILLISECONDS.toNanos(nowMs));
    }

    @Test
    void ownFreshGrantIsAdmittedOnce() {
        assertThat(submit(arrival(1, INCARNATION, 0), true, 10)).isEqualTo(Decision.ADMIT);
        assertThat(submit(arrival(1, INCARNATION, 0), true, 20)).isEqualTo(Decision.ATTACH);
    }

    @Test
    void grantOfAnotherIncarnationIsNeverRunNorCalledNotRun() {
        assertThat(submit(arrival(1, 6, 0), true, 10)).isEqualTo(Decision.EXECUTOR_LOST);
        assertThat(submit(arrival(1, 6, 0), false, 10)).isEqualTo(Decision.EXECUTOR_LOST);
        assertThat(submit(arrival(1, 0, 0), true, 10)).isEqualTo(Decision.EXECUTOR_LOST);
    }

    @Test
    void forgottenRunIsNeverRunAgainNorCalledNotRun() {
        submit(arrival(1, INCARNATION, 0), true, 0);
        ledger.start("r", 0);
        ledger.finish("r", 0);
        ledger.expire(TimeUnit.MILLISECONDS.toNanos(RETENTION_MS));
        assertThat(ledger.size()).isEqualTo(0);
        Arrival late = arrival(1, INCARNATION, 0);
        assertThat(submit(late, true, RETENTION_MS)).isEqualTo(Decision.GRANT_EXPIRED);
        assertThat(submit(late, false, RETENTION_MS)).isEqualTo(Decision.GRANT_EXPIRED);
    }

    @Test
    void drainingLeavesTombstone() {
        assertThat(submit(arrival(1, INCARNATION, 0), false, 0)).isEqualTo(Decision.DRAINING);
        assertThat(submit(arrival(1, INCARNATION, 0), true, 1)).isEqualTo(Decision.REFUSED_BEFORE);
        assertThat(submit(arrival(2, INCARNATION, 0), true, 1)).isEqualTo(Decision.ADMIT);
    }

    @Test
    void startedRunIsNotCalledNotRunWhileDraining() {
        submit(arrival(1, INCARNATION, 0), true, 0);
        ledger.start("r", 0);
        assertThat(submit(arrival(1, INCARNATION, 0), false, 1)).isEqualTo(Decision.ATTACH);
    }

    @Test
    void repeatableRequestNeedsNoGrant() {
        assertThat(submit(new Arrival("q", 1, true, 0, 0), true, RETENTION_MS))
                .isEqualTo(Decision.ADMIT);
    }
}
