package io.pollenpath.coordination.experts;

import java.util.Arrays;

/**
 * Holds which expert each slot of each rank carries in one layer. An expert may have replicas on
 * several ranks, but at most one on each.
 *
 * <p>Instances are immutable; {@link #with} makes a changed copy.
 */
public final class LayerPlacement {

    private final int ranks;
    private final int slotsPerRank;
    private final int experts;
    private final int[] expertOfSlot;

    /**
     * Creates a placement.
     *
     * @param ranks the number of ranks, at least 1
     * @param experts the number of experts, at least 1
     * @param expertOfSlot the expert of each slot; the slots of rank r start at r times the slots
     *     of a rank; not null, copied
     * @throws IllegalArgumentException if the slots do not divide among the ranks, an expert has no
     *     slot, or a rank carries an expert twice
     */
    public LayerPlacement(int ranks, int experts, int[] expertOfSlot) {
        if (ranks < 1 || expertOfSlot.length % ranks != 0) {
            throw new IllegalArgumentException(
                    expertOfSlot.length + " slots do not divide among " + ranks + " ranks");
        }
        this.ranks = ranks;
        this.experts = experts;
        this.expertOfSlot = expertOfSlot.clone();
        slotsPerRank = expertOfSlot.length / ranks;
        check();
    }

    private void check() {
        int[] lastRank = new int[experts];
        Arrays.fill(lastRank, -1);
        for (int slot = 0; slot < expertOfSlot.length; slot++) {
            int expert = expertOfSlot[slot];
            int rank = slot / slotsPerRank;
            if (lastRank[expert] == rank) {
                throw new IllegalArgumentException(
                        "rank " + rank + " carries expert " + expert + " twice; place it once");
            }
            lastRank[expert] = rank;
        }
        for (int expert = 0; expert < experts; expert++) {
            if (lastRank[expert] < 0) {
                throw new IllegalArgumentException(
                        "expert " + expert + " has no slot; place it on a rank");
            }
        }
    }

    /**
     * Creates the placement that deals the experts to the ranks in turn, with the spare slots
     * filled by the first experts again.
     *
     * @param ranks the number of ranks, a divisor of the number of experts
     * @param experts the number of experts
     * @param slotsPerRank the slots of a rank; all slots together must hold every expert
     * @return the placement
     */
    public static LayerPlacement roundRobin(int ranks, int experts, int slotsPerRank) {
        int[] slots = new int[ranks * slotsPerRank];
        for (int slot = 0; slot < slots.length; slot++) {
            int rank = slot / slotsPerRank;
            int turn = slot % slotsPerRank;
            // Each pass over the experts is shifted, so that no rank carries an expert twice.
            int pass = turn * ranks / experts;
            slots[slot] = (turn * ranks + (rank + pass) % ranks) % experts;
        }
        return new LayerPlacement(ranks, experts, slots);
    }

    /**
     * Returns the number of ranks.
     *
     * @return the number of ranks
     */
    public int ranks() {
        return ranks;
    }

    /**
     * Returns the number of experts.
     *
     * @return the number of experts
     */
    public int experts() {
        return experts;
    }

    /**
     * Returns the number of slots of each rank.
     *
     * @return the number of slots
     */
    public int slotsPerRank() {
        return slotsPerRank;
    }

    /**
     * Returns the number of slots of all ranks.
     *
     * @return the number of slots
     */
    public int slots() {
        return expertOfSlot.length;
    }

    /**
     * Returns the expert that a slot carries.
     *
     * @param slot the slot
     * @return the expert
     */
    public int expertOf(int slot) {
        return expertOfSlot[slot];
    }

    /**
     * Returns the rank that a slot belongs to.
     *
     * @param slot the slot
     * @return the rank
     */
    public int rankOf(int slot) {
        return slot / slotsPerRank;
    }

    /**
     * Tells whether a rank carries an expert.
     *
     * @param rank the rank
     * @param expert the expert
     * @return true if one of its slots does
     */
    public boolean carries(int rank, int expert) {
        int from = rank * slotsPerRank;
        for (int slot = from; slot < from + slotsPerRank; slot++) {
            if (expertOfSlot[slot] == expert) {
                return true;
            }
        }
        return false;
    }

    /**
     * Counts the experts that must be fetched to get from another placement to this one.
     *
     * @param before the other placement, of the same shape, not null
     * @return the pairs of rank and expert that are new
     */
    public int movesFrom(LayerPlacement before) {
        int moves = 0;
        for (int slot = 0; slot < expertOfSlot.length; slot++) {
            if (!before.carries(rankOf(slot), expertOfSlot[slot])) {
                moves++;
            }
        }
        return moves;
    }

    /**
     * Copies the experts of all slots.
     *
     * @return a new array
     */
    public int[] toArray() {
        return expertOfSlot.clone();
    }

    /**
     * Returns a copy in which one slot carries another expert.
     *
     * @param slot the slot
     * @param expert the expert
     * @return the copy
     */
    public LayerPlacement with(int slot, int expert) {
        int[] changed = expertOfSlot.clone();
        changed[slot] = expert;
        return new LayerPlacement(ranks, experts, changed);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LayerPlacement that
                && ranks == that.ranks
                && Arrays.equals(expertOfSlot, that.expertOfSlot);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(expertOfSlot);
    }
}
