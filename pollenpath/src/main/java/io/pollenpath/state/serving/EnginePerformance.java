package io.pollenpath.state.serving;

/**
 * The performance and capacity of a model engine, as the operator has declared them. A step of the
 * engine decodes one or more tokens for each request of the batch.
 *
 * @param slots the number of requests that one engine runs at the same time, at least 1
 * @param tokenMs the time to decode one token in an empty batch, in milliseconds, above 0
 * @param tokenMsPerRequest the time that each decoding request of the batch adds per token, in
 *     milliseconds
 * @param prefillTokensPerMs the prefill rate, in prompt tokens per millisecond, above 0
 * @param maxPrefillTokensPerStep the maximum number of prompt tokens that are prefilled in one step
 * @param tokensPerStep the tokens that one step decodes for a request and sends as one event, at
 *     least 1
 * @param meanAnswerTokens the mean length of an answer, in tokens
 * @param kvCacheTokens the capacity of the KV cache of one engine, in tokens
 */
public record EnginePerformance(
        int slots,
        double tokenMs,
        double tokenMsPerRequest,
        double prefillTokensPerMs,
        int maxPrefillTokensPerStep,
        int tokensPerStep,
        int meanAnswerTokens,
        long kvCacheTokens) {

    /** Checks the components. */
    public EnginePerformance {
        if (slots < 1 || tokensPerStep < 1 || !(tokenMs > 0) || !(prefillTokensPerMs > 0)) {
            throw new IllegalArgumentException(
                    "the slots, tokens per step, time per token and prefill rate of an engine must"
                            + " be above 0");
        }
    }

    /**
     * Returns the time of one step in which all engines of a group decode.
     *
     * @param decodingRequests the number of decoding requests on the engine that has the most
     * @return the time, in milliseconds
     */
    public double decodeStepMs(double decodingRequests) {
        return tokensPerStep * (tokenMs + tokenMsPerRequest * decodingRequests);
    }
}
