package io.pollenpath.coordination.serving;

import static com.google.common.truth.Truth.assertThat;

import io.pollenpath.coordination.serving.ResendPolicy.Decision;
import io.pollenpath.state.serving.Repeatability;
import io.pollenpath.state.serving.Route;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ResendPolicyTest {

    private static final Route ONCE = ServingFixtures.plain(Repeatability.NON_IDEMPOTENT, 2);
    private static final Route IDEMPOTENT = ServingFixtures.plain(Repeatability.IDEMPOTENT, 2);
    private static final Route SINGLE = ServingFixtures.plain(Repeatability.NON_IDEMPOTENT, 1);
    private static final Route RESUMABLE = ServingFixtures.stream(true, 2);
    private static final Route FINAL_STREAM = ServingFixtures.stream(false, 2);

    /** The state of a request after an attempt, and the expected decision. */
    record Row(
            String what,
            Route route,
            SendOutcome outcome,
            int sends,
            boolean mayHaveRun,
            long timeLeftMs,
            Decision decision) {
        @Override
        public String toString() {
            return what;
        }
    }

    static List<Row> rows() {
        return List.of(
                new Row("not run", ONCE, SendOutcome.NOT_RUN, 1, false, 500, Decision.RESEND),
                new Row("other", ONCE, SendOutcome.OTHER_SERVER, 1, false, 500, Decision.RESEND),
                new Row("unknown once", ONCE, SendOutcome.UNKNOWN, 1, true, 500, Decision.FAIL),
                new Row("failed", ONCE, SendOutcome.RUN_AND_FAILED, 1, true, 500, Decision.FAIL),
                new Row("repeat", IDEMPOTENT, SendOutcome.UNKNOWN, 1, true, 500, Decision.RESEND),
                new Row("used up", IDEMPOTENT, SendOutcome.UNKNOWN, 2, true, 500, Decision.FAIL),
                new Row("single", SINGLE, SendOutcome.NOT_RUN, 1, false, 500, Decision.REFUSE),
                new Row("no connect", SINGLE, SendOutcome.NOT_SENT, 0, false, 500, Decision.RESEND),
                new Row("no time", ONCE, SendOutcome.NOT_RUN, 1, false, 5, Decision.REFUSE),
                new Row("late", IDEMPOTENT, SendOutcome.UNKNOWN, 1, true, 5, Decision.FAIL),
                new Row("resume", RESUMABLE, SendOutcome.UNKNOWN, 1, true, 5_000, Decision.RESEND),
                new Row("spoilt", RESUMABLE, SendOutcome.SPOILT, 1, true, 5_000, Decision.FAIL),
                new Row("cut", FINAL_STREAM, SendOutcome.UNKNOWN, 1, true, 5_000, Decision.FAIL),
                new Row("ran before", ONCE, SendOutcome.NOT_RUN, 1, true, 500, Decision.FAIL));
    }

    @ParameterizedTest
    @MethodSource("rows")
    void decides(Row row) {
        Decision decision =
                ResendPolicy.decide(
                        row.route(),
                        row.outcome(),
                        row.sends(),
                        row.mayHaveRun(),
                        row.timeLeftMs());
        assertThat(decision).isEqualTo(row.decision());
    }
}
