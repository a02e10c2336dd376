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
 * Grants the runs of one slot of keys in the memory of its owner.
 *
 * <p>After a takeover a key that is not known may be granted only once every executor that may hold
 * a grant has taken the new fence and handed back its keys. If one of them has ended, unknown keys
 * stay uncertain for as long as keys are retained, because it may have run one of them.
 */
public final class SlotTable {

    /** Outcome of a write. */
    public enum WriteResult {
        /** The claim is in force. */
        GRANTED,
        /** Another claim came first: read it. */
        CONFLICT,
        /** Whether the key has run is not known, or the executor is not listed yet. */
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
     * Starts to own a slot.
     *
     * @param ownership what was written to the store, not null
     * @param before the executors that earlier owners may have granted to, not null
     * @param keyRetentionNanos for how long a key must not run again, in nanoseconds
     */
    public SlotTable(
            SlotOwnership ownership, Set<SlotOwnership.Executor> before, long keyRetentionNanos) {
        this.ownership = ownership;
        this.keyRetentionNanos = keyRetentionNanos;
        unfenced = new HashSet<>(before);
    }

    /**
     * Returns what was last written to the store.
     *
     * @return the ownership
     */
    public SlotOwnership ownership() {
        return ownership;
    }

    /**
     * Takes the ownership with further executors, once it has been written to the store.
     *
     * @param written the ownership, not null
     */
    public void onOwnershipWritten(SlotOwnership written) {
        ownership = written;
    }

    /**
     * Returns the executors that have not taken the fence.
     *
     * @return a copy
     */
    public Set<SlotOwnership.Executor> unfenced() {
        return Set.copyOf(unfenced);
    }

    /**
     * Takes the keys of an executor that has taken the fence.
     *
     * @param executor the executor, not null
     * @param keys the claims that it admitted, not null
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
     * Takes the certain end of an executor before it took the fence: its keys are lost.
     *
     * @param executor the executor, not null
     * @param nowNanos the present time, in nanoseconds
     */
    public void onExecutorTerminated(SlotOwnership.Executor executor, long nowNanos) {
        if (unfenced.remove(executor)) {
            lostKeys = true;
            uncertainUntilNanos = nowNanos + keyRetentionNanos;
        }
    }

    /**
     * Tells whether a key that is not known has certainly not run.
     *
     * @param nowNanos the present time, in nanoseconds
     * @return true if it may be granted
     */
    public boolean isCertain(long nowNanos) {
        return unfenced.isEmpty() && !(lostKeys && nowNanos - uncertainUntilNanos < 0);
    }

    /**
     * Reads the claim of a key.
     *
     * @param requestId the request, not null
     * @return the claim, empty if none is known
     */
    public Optional<RunClaim> read(String requestId) {
        return Optional.ofNullable(claims.get(requestId));
    }

    /**
     * Creates a claim, or replaces the one with the same version.
     *
     * @param wanted the claim, not null
     * @param nowNanos the present time, in nanoseconds
     * @return the outcome; if it is GRANTED, {@link #read} returns the claim
     */
    public WriteResult write(RunClaim wanted, long nowNanos) {
        RunClaim held = claims.get(wanted.requestId());
        boolean ownGrant = held != null && held.fence() == ownership.fence();
        if (!ownGrant && !isCertain(nowNanos)) {
            return WriteResult.UNCERTAIN;
        }
        if ((held == null ? 0 : held.version()) != wanted.version()) {
            return WriteResult.CONFLICT;
        }
        SlotOwnership.Executor executor =
                new SlotOwnership.Executor(wanted.executor(), wanted.incarnation());
        if (!wanted.released() && !ownership.executors().contains(executor)) {
            return WriteResult.UNCERTAIN;
        }
        RunClaim granted = wanted.withFence(ownership.fence()).withVersion(nextVersion++);
        claims.put(wanted.requestId(), granted);
        return WriteResult.GRANTED;
    }
}
