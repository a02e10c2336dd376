package io.pollenpath.coordination;

import io.pollenpath.state.RunClaim;
import io.pollenpath.state.SlotOwnership;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The claims on the keys of one slot, kept in the memory of the entry that owns the slot. A slot is
 * a partition of the idempotency keys.
 *
 * <p>After a takeover an unknown key may be granted only after every executor that may hold a grant
 * has accepted the new fencing token and returned its keys. If one of them has terminated before,
 * it may have run any of the unknown keys, so they stay uncertain for the retention time of keys.
 */
public final class SlotTable {

    /** Outcome of a write. */
    public enum WriteResult {
        /** The claim is active. */
        GRANTED,
        /** Another claim was written first: read it. */
        CONFLICT,
        /** It is unknown whether the key has run, or the executor is not listed yet. */
        UNCERTAIN
    }

    private final long keyRetentionNanos;
    private final Map<String, RunClaim> claims = new HashMap<>();
    private final Set<SlotOwnership.Executor> unfenced;
    private SlotOwnership ownership;
    private boolean lostKeys;
    private long uncertainUntilNanos;
    private long nextVersion = 1;

    /**
     * Creates the table of a slot after a takeover.
     *
     * @param ownership the ownership as written to the store, not null
     * @param earlierExecutors the executors to which earlier owners may have granted runs, not null
     * @param keyRetentionNanos the time for which a key must not run again, in nanoseconds
     */
    public SlotTable(
            SlotOwnership ownership,
            Set<SlotOwnership.Executor> earlierExecutors,
            long keyRetentionNanos) {
        this.ownership = ownership;
        this.keyRetentionNanos = keyRetentionNanos;
        unfenced = new HashSet<>(earlierExecutors);
    }

    /**
     * Returns the ownership as last written to the store.
     *
     * @return the ownership
     */
    public SlotOwnership ownership() {
        return ownership;
    }

    /**
     * Records an ownership with further executors after it has been written to the store.
     *
     * @param written the ownership, not null
     */
    public void onOwnershipWritten(SlotOwnership written) {
        ownership = written;
    }

    /**
     * Returns the executors that have not accepted the fencing token of this owner yet.
     *
     * @return a copy of the set
     */
    public Set<SlotOwnership.Executor> unfenced() {
        return Set.copyOf(unfenced);
    }

    /**
     * Merges the keys of an executor that has accepted the fencing token.
     *
     * @param executor the executor, not null
     * @param keys the claims that the executor has admitted, not null
     */
    public void onKeysReturned(SlotOwnership.Executor executor, Collection<RunClaim> keys) {
        if (!unfenced.remove(executor)) {
            return;
        }
        for (RunClaim key : keys) {
            RunClaim held = claims.get(key.requestId());
            if (held == null || held.attempt() < key.attempt()) {
                claims.put(key.requestId(), key.withVersion(nextVersion++));
            }
        }
    }

    /**
     * Handles the certain termination of an executor. If it had not accepted the fencing token, its
     * keys are lost.
     *
     * @param executor the executor, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onExecutorTerminated(SlotOwnership.Executor executor, long nowNanos) {
        if (unfenced.remove(executor)) {
            lostKeys = true;
            uncertainUntilNanos = nowNanos + keyRetentionNanos;
        }
    }

    /**
     * Returns whether an unknown key has certainly not run.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if an unknown key may be granted
     */
    public boolean isCertain(long nowNanos) {
        return unfenced.isEmpty() && !(lostKeys && nowNanos - uncertainUntilNanos < 0);
    }

    /**
     * Returns the claim of a key.
     *
     * @param requestId the id of the request, not null
     * @return the claim, empty if the key is unknown
     */
    public Optional<RunClaim> read(String requestId) {
        return Optional.ofNullable(claims.get(requestId));
    }

    /**
     * Creates a claim, or replaces the stored claim if it has the version of the new one.
     *
     * @param proposed the new claim, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the outcome; if it is GRANTED, {@link #read} returns the claim
     */
    public WriteResult write(RunClaim proposed, long nowNanos) {
        RunClaim held = claims.get(proposed.requestId());
        boolean ownGrant = held != null && held.fence() == ownership.fence();
        if (!ownGrant && !isCertain(nowNanos)) {
            return WriteResult.UNCERTAIN;
        }
        if ((held == null ? 0 : held.version()) != proposed.version()) {
            return WriteResult.CONFLICT;
        }
        SlotOwnership.Executor executor =
                new SlotOwnership.Executor(proposed.executor(), proposed.incarnation());
        if (!proposed.released() && !ownership.executors().contains(executor)) {
            return WriteResult.UNCERTAIN;
        }
        RunClaim granted = proposed.withFence(ownership.fence()).withVersion(nextVersion++);
        claims.put(proposed.requestId(), granted);
        return WriteResult.GRANTED;
    }
}
