package io.pollenpath.bench.prove;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.coordination.MergeRule;
import org.junit.jupiter.api.Test;

class ConfigFaultCasesTest {

    private static final long SEED = 7;
    private static final int TRIALS = 3;

    @Test
    void guaranteeHoldsInEveryCase() throws Exception {
        for (FaultCase faultCase : new ConfigFaultCases(MergeRule.MAXIMUM_VERSION).cases()) {
            int violations = FaultCaseRunner.run(faultCase, TRIALS, SEED);
            assertWithMessage(faultCase.fault()).that(violations).isEqualTo(0);
        }
    }

    @Test
    void mergeByLastArrivalIsDetected() throws Exception {
        MergeRule lastArrival =
                (held, offered, floor) -> held == null || held.version() != offered.version();
        assertThat(violationsOf("operators-race", lastArrival)).isGreaterThan(0);
    }

    @Test
    void mergeWithoutDeletionMarkersIsDetected() throws Exception {
        MergeRule withoutDeletionMarkers =
                (held, offered, floor) ->
                        held == null || held.deleted() || offered.version() > held.version();
        assertThat(violationsOf("peers-lag", withoutDeletionMarkers)).isGreaterThan(0);
    }

    private static int violationsOf(String fault, MergeRule rule) throws Exception {
        for (FaultCase faultCase : new ConfigFaultCases(rule).cases()) {
            if (faultCase.fault().equals(fault)) {
                return FaultCaseRunner.run(faultCase, 1, SEED);
            }
        }
        throw new AssertionError("no case " + fault);
    }
}
