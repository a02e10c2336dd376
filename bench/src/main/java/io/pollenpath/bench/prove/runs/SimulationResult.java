package io.pollenpath.bench.prove.runs;

/**
 * The result of one simulation.
 *
 * @param duplicateRuns the number of runs after the first run of a request, over all requests
 * @param falseAnswers the number of answers that stated falsely whether the request ran
 * @param answers the number of all answers
 * @param answersWithoutResult the number of answers that are not the result of a run
 * @param requestsRun the number of requests that ran at least once
 * @param storeWrites the number of writes requested from the platform's store
 */
public record SimulationResult(
        int duplicateRuns,
        int falseAnswers,
        int answers,
        int answersWithoutResult,
        long requestsRun,
        long storeWrites) {

    /**
     * Returns the number of violations: duplicate runs and false answers.
     *
     * @return the number of violations
     */
    public int violations() {
        return duplicateRuns + falseAnswers;
    }
}
