package io.pollenpath.coordination.experts;

import java.util.Arrays;

/**
 * Splits the load of each expert among its replicas to minimize the load of the busiest rank. It
 * balances one expert after the other by water-filling: the least loaded ranks that host the expert
 * are filled up to one common level. This is a working copy of a placement: slots may be
 * reassigned, and the split follows.
 *
 * <p>Not safe for use by several threads. Loads are in units of the mean load of a rank.
 */
public final class LoadSplit {

    private static final int INITIAL_SWEEPS = 12;

    private final int ranks;
    private final int slotsPerRank;
    private final int[] expertOfSlot;
    private final double[] expertLoad;
    private final int[][] slotsOfExpert;
    private final int[] replicas;
    private final double[] slotLoad;
    private final double[] rankLoad;

    /**
     * Creates the balanced split of a placement.
     *
     * @param placement the placement, not null
     * @param expertLoad the load of each expert, not null
     */
    public LoadSplit(LayerPlacement placement, double[] expertLoad) {
        ranks = placement.ranks();
        slotsPerRank = placement.slotsPerRank();
        expertOfSlot = placement.toArray();
        this.expertLoad = expertLoad;
        slotsOfExpert = new int[placement.experts()][2];
        replicas = new int[placement.experts()];
        slotLoad = new double[expertOfSlot.length];
        rankLoad = new double[ranks];
        for (int slot = 0; slot < expertOfSlot.length; slot++) {
            addReplica(expertOfSlot[slot], slot);
        }
        splitEvenly();
        balance(INITIAL_SWEEPS);
    }

    private void addReplica(int expert, int slot) {
        int count = replicas[expert];
        if (count == slotsOfExpert[expert].length) {
            slotsOfExpert[expert] = Arrays.copyOf(slotsOfExpert[expert], 2 * count);
        }
        slotsOfExpert[expert][count] = slot;
        replicas[expert] = count + 1;
    }

    private void removeReplica(int expert, int slot) {
        int last = replicas[expert] - 1;
        int[] slots = slotsOfExpert[expert];
        for (int i = 0; i < last; i++) {
            if (slots[i] == slot) {
                slots[i] = slots[last];
                break;
            }
        }
        replicas[expert] = last;
    }

    private void splitEvenly() {
        for (int slot = 0; slot < expertOfSlot.length; slot++) {
            int expert = expertOfSlot[slot];
            slotLoad[slot] = expertLoad[expert] / replicas[expert];
            rankLoad[slot / slotsPerRank] += slotLoad[slot];
        }
    }

    /**
     * Balances every expert that has several replicas a number of times.
     *
     * @param sweeps how often each expert is balanced
     */
    public void balance(int sweeps) {
        for (int sweep = 0; sweep < sweeps; sweep++) {
            for (int expert = 0; expert < replicas.length; expert++) {
                if (replicas[expert] > 1) {
                    balanceExpert(expert);
                }
            }
        }
    }

    /** Splits the load of an expert so that the ranks it loads reach one common level. */
    private void balanceExpert(int expert) {
        int[] slots = slotsOfExpert[expert];
        int count = replicas[expert];
        for (int i = 0; i < count; i++) {
            rankLoad[slots[i] / slotsPerRank] -= slotLoad[slots[i]];
        }
        sortByRankLoad(slots, count);
        double level = commonLevel(slots, count, expertLoad[expert]);
        for (int i = 0; i < count; i++) {
            int rank = slots[i] / slotsPerRank;
            slotLoad[slots[i]] = Math.max(0, level - rankLoad[rank]);
            rankLoad[rank] += slotLoad[slots[i]];
        }
    }

    private void sortByRankLoad(int[] slots, int count) {
        for (int i = 1; i < count; i++) {
            int slot = slots[i];
            double load = rankLoad[slot / slotsPerRank];
            int j = i - 1;
            while (j >= 0 && rankLoad[slots[j] / slotsPerRank] > load) {
                slots[j + 1] = slots[j];
                j--;
            }
            slots[j + 1] = slot;
        }
    }

    private double commonLevel(int[] sortedSlots, int count, double load) {
        double sum = load;
        double level = 0;
        for (int i = 0; i < count; i++) {
            double base = rankLoad[sortedSlots[i] / slotsPerRank];
            if (i > 0 && base >= level) {
                break;
            }
            sum += base;
            level = sum / (i + 1);
        }
        return level;
    }

    /**
     * Replaces the expert in a slot and balances both experts.
     *
     * @param slot the slot
     * @param expert the new expert of the slot
     * @return the previous expert of the slot
     */
    public int reassign(int slot, int expert) {
        int previous = expertOfSlot[slot];
        rankLoad[slot / slotsPerRank] -= slotLoad[slot];
        slotLoad[slot] = 0;
        removeReplica(previous, slot);
        addReplica(expert, slot);
        expertOfSlot[slot] = expert;
        if (replicas[previous] > 0) {
            balanceExpert(previous);
        }
        balanceExpert(expert);
        return previous;
    }

    /**
     * Returns a penalty for uneven load, to compare splits of the same loads. The busiest ranks
     * dominate it, but unlike the maximum it also reflects the other ranks.
     *
     * @return the sum of the 16th powers of the rank loads
     */
    public double loadPenalty() {
        double penalty = 0;
        for (double load : rankLoad) {
            double square = load * load;
            double fourth = square * square;
            double eighth = fourth * fourth;
            penalty += eighth * eighth;
        }
        return penalty;
    }

    /**
     * Returns the rank with the most load.
     *
     * @return the rank
     */
    public int busiestRank() {
        int busiest = 0;
        for (int rank = 1; rank < ranks; rank++) {
            if (rankLoad[rank] > rankLoad[busiest]) {
                busiest = rank;
            }
        }
        return busiest;
    }

    /**
     * Returns the load of a rank.
     *
     * @param rank the rank
     * @return the load, in units of the mean
     */
    public double rankLoad(int rank) {
        return rankLoad[rank];
    }

    /**
     * Returns the load of a slot.
     *
     * @param slot the slot
     * @return the load, in units of the mean of a rank
     */
    public double slotLoad(int slot) {
        return slotLoad[slot];
    }

    /**
     * Returns the expert of a slot.
     *
     * @param slot the slot
     * @return the expert
     */
    public int expertOf(int slot) {
        return expertOfSlot[slot];
    }

    /**
     * Returns the number of replicas of an expert.
     *
     * @param expert the expert
     * @return the number of its slots
     */
    public int replicas(int expert) {
        return replicas[expert];
    }

    /**
     * Returns whether a rank hosts an expert.
     *
     * @param rank the rank
     * @param expert the expert
     * @return true if the expert is in one of its slots
     */
    public boolean hosts(int rank, int expert) {
        for (int i = 0; i < replicas[expert]; i++) {
            if (slotsOfExpert[expert][i] / slotsPerRank == rank) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the share of its expert's load that each slot gets.
     *
     * @return a new array; the shares of an expert's slots add up to 1
     */
    public double[] shares() {
        double[] shares = new double[slotLoad.length];
        for (int slot = 0; slot < shares.length; slot++) {
            int expert = expertOfSlot[slot];
            double load = expertLoad[expert];
            shares[slot] = load > 0 ? slotLoad[slot] / load : 1.0 / replicas[expert];
        }
        return shares;
    }

    /**
     * Returns the current assignment of the slots as a placement.
     *
     * @return the placement
     */
    public LayerPlacement placement() {
        return new LayerPlacement(ranks, replicas.length, expertOfSlot);
    }
}
