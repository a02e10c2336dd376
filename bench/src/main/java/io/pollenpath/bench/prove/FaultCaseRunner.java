package io.pollenpath.bench.prove;

import io.pollenpath.bench.BenchOptions;
import java.io.PrintStream;
import java.util.List;

/** Runs fault-injection cases and prints a line with the number of violations for each. */
public final class FaultCaseRunner {

    private static final int MAX_PROCESS_TRIALS = 2;

    private FaultCaseRunner() {}

    /**
     * Runs every case and prints its result.
     *
     * @param cases the cases, not null
     * @param options gives the seed and the number of trials of each case, not null
     * @param out receives one line for each case, not null
     * @return the total number of violations
     * @throws Exception if a trial could not be carried out
     */
    public static int run(List<FaultCase> cases, BenchOptions options, PrintStream out)
            throws Exception {
        int total = 0;
        for (FaultCase faultCase : cases) {
            int trials = options.trials();
            if (faultCase.realProcesses()) {
                trials = Math.min(MAX_PROCESS_TRIALS, trials);
            }
            int violations = run(faultCase, trials, options.seed());
            total += violations;
            out.printf(
                    "promise=%s fault=%s trials=%d violations=%d seed=%d%n",
                    faultCase.guarantee(), faultCase.fault(), trials, violations, options.seed());
        }
        return total;
    }

    /**
     * Runs one case.
     *
     * @param faultCase the case, not null
     * @param trials the number of trials
     * @param seed the base seed; trial {@code i} runs with the seed {@code seed * 1_000_003 + i}
     * @return the number of violations
     * @throws Exception if a trial could not be carried out
     */
    public static int run(FaultCase faultCase, int trials, long seed) throws Exception {
        int violations = 0;
        for (int i = 0; i < trials; i++) {
            violations += faultCase.trial().run(seed * 1_000_003L + i);
        }
        return violations;
    }
}
