package io.pollenpath.transport.group;

import java.util.concurrent.CompletableFuture;

/** A lease whose store answers at once; thread-safe. */
final class SimulatedLease implements LeaderLease {

    private final long firstToken;
    private long token;

    /** Creates a lease that nobody has claimed. */
    SimulatedLease(long firstToken) {
        this.firstToken = firstToken;
    }

    @Override
    public synchronized CompletableFuture<Long> currentToken(String group) {
        return CompletableFuture.completedFuture(token);
    }

    @Override
    public synchronized CompletableFuture<Long> claim(
            String group, String holder, long replacedToken) {
        if (token != replacedToken) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("another agent has claimed leadership"));
        }
        token = token == 0 ? firstToken : token + 1;
        return CompletableFuture.completedFuture(token);
    }

    /** Returns how many claims have succeeded. */
    synchronized long claims() {
        return token == 0 ? 0 : token - firstToken + 1;
    }
}
