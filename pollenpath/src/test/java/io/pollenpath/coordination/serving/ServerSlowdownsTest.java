package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ServerSlowdownsTest {

    private static final String SERVER = "10.1.0.4:8000";

    private final ServerSlowdowns slowdowns = new ServerSlowdowns();

    @Test
    void takesServersAsUsualWithoutAReport() {
        assertThat(slowdowns.factor(SERVER, 0)).isEqualTo(1);
    }

    @Test
    void forgetsAReportThatIsNotRepeated() {
        slowdowns.onReport(new SlowdownReport(SERVER, 12), 0);
        long maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(ServerSlowdowns.MAX_AGE_MS);
        assertThat(slowdowns.factor(SERVER, maxAgeNanos - 1)).isEqualTo(12);
        assertThat(slowdowns.factor(SERVER, maxAgeNanos)).isEqualTo(1);
    }

    @Test
    void prefersNoServerThatSaysItIsFasterThanUsual() {
        slowdowns.onReport(new SlowdownReport(SERVER, 0.1), 0);
        assertThat(slowdowns.factor(SERVER, 0)).isEqualTo(1);
    }

    @Test
    void rejectsFactorsThatAreNoNumbersAboveZero() {
        assertThrows(IllegalArgumentException.class, () -> new SlowdownReport(SERVER, 0));
        assertThrows(IllegalArgumentException.class, () -> new SlowdownReport(SERVER, Double.NaN));
        assertThrows(
                IllegalArgumentException.class,
                () -> new SlowdownReport(SERVER, Double.POSITIVE_INFINITY));
    }
}
