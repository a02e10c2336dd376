package io.pollenpath.transport.group;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Passes calls of one VM to the lease after the time of a call to the store. */
final class RemoteLease implements LeaderLease {

    private static final long STORE_CALL_MS = 4;

    private final SimulatedLease lease;
    private final VirtualExecutor executor;
    private final BooleanSupplier cutOff;

    RemoteLease(SimulatedLease lease, VirtualExecutor executor, BooleanSupplier cutOff) {
        this.lease = lease;
        this.executor = executor;
        this.cutOff = cutOff;
    }

    private CompletableFuture<Void> reachStore() {
        CompletableFuture<Void> reached = new CompletableFuture<>();
        executor.schedule(() -> answer(reached), STORE_CALL_MS, TimeUnit.MILLISECONDS);
        return reached;
    }

    private void answer(CompletableFuture<Void> reached) {
        if (cutOff.getAsBoolean()) {
            reached.completeExceptionally(new IllegalStateException("the store is unreachable"));
        } else {
            reached.complete(null);
        }
    }

    @Override
    public CompletableFuture<Long> currentToken(String name) {
        return reachStore().thenCompose(nothing -> lease.currentToken(name));
    }

    @Override
    public CompletableFuture<Long> claim(String name, String holder, long replacedToken) {
        return reachStore().thenCompose(nothing -> lease.claim(name, holder, replacedToken));
    }
}
