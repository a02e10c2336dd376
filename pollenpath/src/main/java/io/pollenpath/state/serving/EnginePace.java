package io.pollenpath.state.serving;

/**
 * The performance and capacity of a model engine, as the operator has declared them. A step of the
 * engine decodes one or more tokens for each request of the batch.
 *
 * @param slots the number of requests that one engine runs at the same time, at least 1
 * @param stepMs the time to decode one token in an empty batch, in milliseconds, above 0
 * @param perRequestMs the time that each decoding request of the batch adds per token, in
 *     milliseconds
 * @param readTokensPerMs the prefill rate, in prompt tokens per millisecond, above 0
 * @param chunkTokens the maximum number of prompt tokens that are prefilled in one step
 * @param stepsPerPass the tokens that one step decodes for a request and sends as one event, at
 *     least 1
 * @param usualAnswerTokens the mean length of an answer, in tokens
 * @param tokenCapacity the capacity of the KV cache of one engine, in tokens
 */
public record EnginePace(
        int slots,
        double stepMs,
        double perRequestMs,
        double readTokensPerMs,
        int chunkTokens,
        int stepsPerPass,
        int usualAnswerTokens,
        long tokenCapacity) {

    /** Checks the components. */
    public EnginePace {
        if (slots < 1 || stepsPerPass < 1 || !(stepMs > 0) || !(readTokensPerMs > 0)) {
            throw new IllegalArgumentException(
                    "the pace of an engine has a figure of 0; declare all figures above 0");
        }
    }

    /**
     * Returns the time of one step in which all engines of a group decode.
     *
     * @param writers the number of decoding requests on the engine that has the most
     * @return the time, in milliseconds
     */
    public double passMs(double writers) {
        return stepsPerPass * (stepMs + perRequestMs * writers);
    }
}
