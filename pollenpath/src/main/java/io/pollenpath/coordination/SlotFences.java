package io.pollenpath.coordination;

import io.pollenpath.state.RunClaim;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The fencing state of a side process: the highest fencing token seen for each slot, and the keys
 * that were admitted, which a new owner of the slot asks for. A slot is a partition of the
 * idempotency keys; one entry owns it.
 */
public final class SlotFences {

    private final Map<Integer, Long> highestTokens = new HashMap<>();
    private final Map<Integer, Map<String, RunClaim>> admitted = new HashMap<>();

    /**
     * Checks the fencing token of a grant and records it if it is the highest seen.
     *
     * @param slot the slot of the key
     * @param fencingToken the fencing token of the grant
     * @return false if a token of a later owner has been seen: the grant must not be used
     */
    public boolean accepts(int slot, long fencingToken) {
        return highestTokens.merge(slot, fencingToken, Math::max) == fencingToken;
    }

    /**
     * Returns whether a fencing token is current, without recording it.
     *
     * @param slot the slot
     * @param fencingToken the fencing token of the owner that asks
     * @return true if no higher token has been seen for the slot
     */
    public boolean isCurrent(int slot, long fencingToken) {
        return highestTokens.getOrDefault(slot, 0L) <= fencingToken;
    }

    /**
     * Records a key that was admitted.
     *
     * @param slot the slot of the key
     * @param claim the claim under which it was admitted, not null
     */
    public void recordAdmitted(int slot, RunClaim claim) {
        admitted.computeIfAbsent(slot, s -> new LinkedHashMap<>()).put(claim.requestId(), claim);
    }

    /**
     * Records the fencing token of a new owner; grants of earlier owners are refused from now on.
     *
     * @param slot the slot
     * @param fencingToken the fencing token of the new owner
     * @return the claims of the keys that were admitted here; null if a higher token has been seen
     */
    public Collection<RunClaim> raise(int slot, long fencingToken) {
        if (!accepts(slot, fencingToken)) {
            return null;
        }
        List<RunClaim> keys = new ArrayList<>(admitted.getOrDefault(slot, Map.of()).values());
        return List.copyOf(keys);
    }
}
