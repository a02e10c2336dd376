package io.pollenpath.bench.prove;

import io.pollenpath.coordination.MergeRule;
import java.util.ArrayList;
import java.util.List;

/** Lists the fault-injection cases of all guarantees. */
public final class FaultCases {

    private FaultCases() {}

    /**
     * Returns the cases of all guarantees.
     *
     * @return the cases, grouped by guarantee
     */
    public static List<FaultCase> all() {
        List<FaultCase> cases = new ArrayList<>();
        cases.addAll(AtMostOnceCases.inProcess());
        cases.addAll(AtMostOnceProcessCases.all());
        cases.addAll(WholeAnswerCases.all());
        cases.addAll(WholeAnswerProcessCases.all());
        cases.addAll(new ConfigFaultCases(MergeRule.MAXIMUM_VERSION).cases());
        return cases;
    }
}
