package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RefusalGateTest {

    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final RefusalGate gate = new RefusalGate();

    private void refuse(int times) {
        for (int i = 0; i < times; i++) {
            gate.onRefused(0);
        }
    }

    @Test
    void isOpenAfterAFewRefusals() {
        refuse(RefusalGate.CLOSED_AFTER_REFUSALS - 1);
        assertThat(gate.isClosed()).isFalse();
        assertThat(gate.admits(0)).isTrue();
    }

    @Test
    void admitsOneRequestAtATimeAfterManyRefusals() {
        refuse(RefusalGate.CLOSED_AFTER_REFUSALS);
        assertThat(gate.admits(0)).isFalse();
        assertThat(gate.admits(SECOND)).isTrue();
        gate.onSent(SECOND);
        assertThat(gate.admits(SECOND + 1)).isFalse();
        assertThat(gate.admits(2 * SECOND)).isTrue();
    }

    @Test
    void opensWithProgress() {
        refuse(20);
        gate.onProgress();
        assertThat(gate.isClosed()).isFalse();
        assertThat(gate.admits(0)).isTrue();
    }

    @Test
    void staysOpenWhileOtherServersMakeProgress() {
        for (int i = 0; i < 20; i++) {
            gate.onRefused(0);
            gate.onProgress();
        }
        assertThat(gate.isClosed()).isFalse();
    }
}
