package io.pollenpath.state.serving;

/**
 * Describes how fast a model engine works, as far as the operator has declared it.
 *
 * @param slots the requests that one engine runs at the same time, at least 1
 * @param stepMs the time of one token step without requests, in milliseconds
 * @param perRequestMs what each writing request adds to a step, in milliseconds
 * @param readTokensPerMs the prompt tokens that are read in a millisecond, above 0
 * @param chunkTokens the most prompt tokens that are read in one step
 * @param stepsPerPass the token steps of one pass, and so of one event, at least 1
 * @param usualAnswerTokens the mean length of an answer, in tokens
 * @param tokenCapacity the tokens that fit in the memory of one engine
 */
public record EnginePerformance(
        int slots,
        double stepMs,
        double perRequestMs,
        double readTokensPerMs,
        int chunkTokens,
        int stepsPerPass,
        int usualAnswerTokens,
        long tokenCapacity) {

    /** Checks the components. */
    public EnginePerformance {
        if (slots < 1 || stepsPerPass < 1 || !(stepMs > 0) || !(readTokensPerMs > 0)) {
            throw new IllegalArgumentException(
                    "the pace of an engine has a figure of 0; declare all figures above 0");
        }
    }

    /**
     * Returns the time of one pass in which every engine of a group writes.
     *
     * @param writers the requests that write on the fullest engine
     * @return the time, in milliseconds
     */
    public double decodeStepMs(double writers) {
        return stepsPerPass * (stepMs + perRequestMs * writers);
    }
}
