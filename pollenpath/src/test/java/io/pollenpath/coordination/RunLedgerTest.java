package io.pollenpath.coordination;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.coordination.RunLedger.Decision;
import org.junit.jupiter.api.Test;

class RunLedgerTest {

    private static final long RETENTION_NANOS = 1_000;

    private final RunLedger ledger = new RunLedger(RETENTION_NANOS);

    @Test
    void duplicateMessageAttachesToRun() {
        assertThat(ledger.submit("r", 1, 0)).isEqualTo(Decision.ADMIT);
        assertThat(ledger.submit("r", 1, 0)).isEqualTo(Decision.ATTACH);
        assertThat(ledger.start("r", 0)).isTrue();
        assertThat(ledger.start("r", 0)).isFalse();
    }

    @Test
    void refusedAttemptNeverStartsLater() {
        assertThat(ledger.refuse("r", 2, 0)).isTrue();
        assertThat(ledger.submit("r", 1, 0)).isEqualTo(Decision.REFUSE);
        assertThat(ledger.submit("r", 2, 0)).isEqualTo(Decision.REFUSE);
        assertThat(ledger.submit("r", 3, 0)).isEqualTo(Decision.ADMIT);
    }

    @Test
    void startedRequestCannotBeRefused() {
        ledger.submit("r", 1, 0);
        ledger.start("r", 0);
        assertThat(ledger.refuse("r", 1, 0)).isFalse();
        ledger.finish("r", 0);
        assertThat(ledger.refuse("r", 1, 0)).isFalse();
    }

    @Test
    void abandonedStartLeavesTombstone() {
        ledger.submit("r", 1, 0);
        ledger.start("r", 0);
        ledger.abandonStart("r", 0);
        assertThat(ledger.submit("r", 1, 0)).isEqualTo(Decision.REFUSE);
        assertThat(ledger.submit("r", 2, 0)).isEqualTo(Decision.ADMIT);
    }

    @Test
    void expiryKeepsRunningRequests() {
        ledger.submit("running", 1, 0);
        ledger.start("running", 0);
        ledger.refuse("refused", 1, 0);
        ledger.expire(RETENTION_NANOS);
        assertThat(ledger.size()).isEqualTo(1);
        assertThat(ledger.submit("running", 1, 0)).isEqualTo(Decision.ATTACH);
    }
}
