package io.pollenpath.bench.prove;

import io.pollenpath.bench.prove.runs.ClaimSimulation;
import io.pollenpath.bench.prove.runs.Fault;
import io.pollenpath.bench.prove.runs.GrantPolicy;
import io.pollenpath.bench.prove.runs.Mutant;
import java.util.Arrays;
import java.util.List;

/**
 * Lists the cases which check, in a simulation within this process, that a non-idempotent request
 * runs at most once and that each answer says correctly whether it ran, under each {@link Fault}.
 */
public final class AtMostOnceCases {

    private static final String GUARANTEES = "at-most-once,not-run-is-true";

    private AtMostOnceCases() {}

    /**
     * Returns the simulated cases, which start no processes.
     *
     * @return one case for each policy and fault
     */
    public static List<FaultCase> inProcess() {
        return Arrays.stream(GrantPolicy.values())
                .flatMap(
                        policy ->
                                Arrays.stream(Fault.values())
                                        .map(fault -> faultCase(policy, fault)))
                .toList();
    }

    private static FaultCase faultCase(GrantPolicy policy, Fault fault) {
        return new FaultCase(
                GUARANTEES,
                policy.label() + "/" + fault.label(),
                false,
                seed -> ClaimSimulation.run(policy, fault, Mutant.NONE, seed).violations());
    }
}
