package io.pollenpath.bench.prove;

import io.pollenpath.bench.prove.runs.Fault;
import io.pollenpath.bench.prove.runs.Mutant;
import io.pollenpath.bench.prove.runs.Policy;
import io.pollenpath.bench.prove.runs.Schedule;
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
    public static List<ProofCase> inProcess() {
        return Arrays.stream(Policy.values())
                .flatMap(
                        policy ->
                                Arrays.stream(Fault.values())
                                        .map(fault -> faultCase(policy, fault)))
                .toList();
    }

    private static ProofCase faultCase(Policy policy, Fault fault) {
        return new ProofCase(
                GUARANTEES,
                policy.label() + "/" + fault.label(),
                false,
                seed -> Schedule.run(policy, fault, Mutant.NONE, seed).violations());
    }
}
