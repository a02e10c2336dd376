package io.pollenpath.bench.prove;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.pollenpath.bench.prove.runs.ClaimSimulation;
import io.pollenpath.bench.prove.runs.Fault;
import io.pollenpath.bench.prove.runs.GrantPolicy;
import io.pollenpath.bench.prove.runs.Mutant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AtMostOnceCasesTest {

    private static final long SEED = 7;
    private static final int TRIALS = 20;
    private static final int MUTANT_TRIALS = 30;

    @Test
    void guaranteesHoldUnderEveryFault() throws Exception {
        for (FaultCase faultCase : AtMostOnceCases.inProcess()) {
            assertWithMessage(faultCase.fault())
                    .that(FaultCaseRunner.run(faultCase, TRIALS, SEED))
                    .isEqualTo(0);
        }
    }

    @ParameterizedTest
    @EnumSource
    void schedulesRunRequests(Fault fault) {
        long requestsRun = 0;
        for (int i = 0; i < TRIALS; i++) {
            requestsRun +=
                    ClaimSimulation.run(GrantPolicy.CLAIMS, fault, Mutant.NONE, SEED + i)
                            .requestsRun();
            requestsRun +=
                    ClaimSimulation.run(GrantPolicy.SLOTS, fault, Mutant.NONE, SEED + i)
                            .requestsRun();
        }
        assertThat(requestsRun).isGreaterThan(TRIALS);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachMutantIsDetected(Mutant mutant) {
        int violations = 0;
        for (Fault fault : Fault.values()) {
            for (int i = 0; i < MUTANT_TRIALS; i++) {
                violations +=
                        ClaimSimulation.run(mutant.policy(), fault, mutant, SEED + i).violations();
            }
        }
        assertThat(violations).isGreaterThan(0);
    }
}
