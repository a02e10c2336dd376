package io.pollenpath.state;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The ownership of one slot of request keys by the entry that grants run claims in it, as stored
 * for all entries. It does not expire: it is valid until another entry replaces it with a higher
 * fencing token.
 *
 * @param slot the number of the slot
 * @param owner the entry, not null
 * @param fence the fencing token of this owner, from 1; increases with each takeover
 * @param executors the executors to which owners of this slot may have granted claims, not null
 * @param version the version in the store, 0 if not stored yet
 */
public record SlotOwnership(
        int slot, String owner, long fence, Set<Executor> executors, long version) {

    /**
     * One incarnation of a side process.
     *
     * @param name the backend server, not null
     * @param incarnation the incarnation of its side process
     */
    public record Executor(String name, long incarnation) {

        /** Checks the components. */
        public Executor {
            Objects.requireNonNull(name, "name");
        }
    }

    /** Checks and copies the components. */
    public SlotOwnership {
        Objects.requireNonNull(owner, "owner");
        executors = Set.copyOf(executors);
    }

    /**
     * Returns the ownership that a new owner stores to take over the slot.
     *
     * @param newOwner the entry that takes over, not null
     * @param known the executors to which it may grant claims, not null
     * @return the copy, with the next fencing token and all executors that may hold a claim
     */
    public SlotOwnership takenOverBy(String newOwner, Set<Executor> known) {
        return new SlotOwnership(slot, newOwner, fence + 1, union(known), version);
    }

    /**
     * Returns the ownership that an owner stores before it grants claims to more executors.
     *
     * @param added the executors, not null
     * @return the copy, with the same fencing token
     */
    public SlotOwnership withExecutors(Set<Executor> added) {
        return new SlotOwnership(slot, owner, fence, union(added), version);
    }

    private Set<Executor> union(Set<Executor> added) {
        Set<Executor> all = new HashSet<>(executors);
        all.addAll(added);
        return all;
    }
}
