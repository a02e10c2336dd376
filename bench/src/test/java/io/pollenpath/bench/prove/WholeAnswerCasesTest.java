package io.pollenpath.bench.prove;

import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class WholeAnswerCasesTest {

    private static final long SEED = 7;
    private static final int TRIALS = 3;

    static java.util.List<FaultCase> inProcess() {
        return WholeAnswerCases.all().stream().filter(c -> !c.realProcesses()).toList();
    }

    @ParameterizedTest
    @MethodSource("inProcess")
    void guaranteeHolds(FaultCase faultCase) throws Exception {
        assertWithMessage("fault " + faultCase.fault() + " seed " + SEED)
                .that(FaultCaseRunner.run(faultCase, TRIALS, SEED))
                .isEqualTo(0);
    }
}
