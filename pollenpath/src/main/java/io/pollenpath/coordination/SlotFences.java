package io.pollenpath.coordination;

import io.pollenpath.state.RunClaim;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps, in a side process, the highest fence seen for each slot of keys and every key that was
 * admitted, so that a new owner of the slot can learn them.
 */
public final class SlotFences {

    private final Map<Integer, Long> highest = new HashMap<>();
    private final Map<Integer, Map<String, RunClaim>> recordAdmitted = new HashMap<>();

    /**
     * Checks the fence of a grant and remembers it.
     *
     * @param slot the slot of the key
     * @param fence the fence of the grant
     * @return false if a later owner has fenced this process: the grant must not be used
     */
    public boolean accepts(int slot, long fence) {
        return highest.merge(slot, fence, Math::max) == fence;
    }

    /**
     * Tells whether no later owner has fenced this process; remembers nothing.
     *
     * @param slot the slot
     * @param fence the fence of the owner that asks
     * @return true if the fence is the highest that was seen
     */
    public boolean isCurrent(int slot, long fence) {
        return highest.getOrDefault(slot, 0L) <= fence;
    }

    /**
     * Remembers a key that was admitted.
     *
     * @param slot the slot of the key
     * @param claim the claim under which it was admitted, not null
     */
    public void recordAdmitted(int slot, RunClaim claim) {
        recordAdmitted
                .computeIfAbsent(slot, s -> new LinkedHashMap<>())
                .put(claim.requestId(), claim);
    }

    /**
     * Takes the fence of a new owner: from now on grants of earlier owners are refused.
     *
     * @param slot the slot
     * @param fence the fence of the new owner
     * @return the keys that were admitted here; null if a later owner has fenced this process
     */
    public Collection<RunClaim> raise(int slot, long fence) {
        if (!accepts(slot, fence)) {
            return null;
        }
        List<RunClaim> keys = new ArrayList<>(recordAdmitted.getOrDefault(slot, Map.of()).values());
        return List.copyOf(keys);
    }
}
