package io.pollenpath.bench.measure;

/**
 * The prompt of a request and the length of its answer.
 *
 * @param prefix the ID of the prefix that the prompt shares with others, never 0
 * @param prefixTokens the length of that prefix, in tokens
 * @param suffixTokens the length of the rest of the prompt, in tokens
 * @param outputTokens the length of the answer, in tokens
 */
record FakePrompt(long prefix, int prefixTokens, int suffixTokens, int outputTokens) {}
