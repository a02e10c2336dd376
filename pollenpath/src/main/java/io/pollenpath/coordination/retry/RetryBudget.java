package io.pollenpath.coordination.retry;

/**
 * Limits the retries of one customer to a fraction of its first attempts, so that retries cannot
 * amplify an overload. Thread-safe.
 */
public final class RetryBudget {

    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    /**
     * Records a first attempt, which adds {@code retryRatio} to the retries that are allowed.
     *
     * @param retryRatio the retries per first attempt that the contract allows, 0 to 1
     */
    public synchronized void onFirstAttempt(double retryRatio) {
        tokens = Math.min(MAX_TOKENS, tokens + retryRatio);
    }

    /**
     * Takes one retry from the budget if one is left.
     *
     * @param retryRatio the retries per first attempt that the contract allows; 0 allows none
     * @return whether the retry may be sent
     */
    public synchronized boolean tryRetry(double retryRatio) {
        if (retryRatio <= 0 || tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
