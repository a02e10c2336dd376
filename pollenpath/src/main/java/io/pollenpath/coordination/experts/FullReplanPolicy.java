package io.pollenpath.coordination.experts;

import java.util.Arrays;
import java.util.PriorityQueue;

/**
 * Computes each placement from scratch and ignores the cost of moves. Spare slots go to the experts
 * with the highest load per replica; then the replicas are placed in order of decreasing load, each
 * on the least loaded rank.
 */
public final class FullReplanPolicy implements RebalancePolicy {

    private record Replica(int expert, double load) {}

    @Override
    public LayerPlacement plan(LayerPlacement current, double[] forecast, double horizon) {
        int[] replicas = countReplicas(forecast, current.slots(), current.ranks());
        Replica[] sorted = sortedReplicas(forecast, replicas, current.slots());
        return pack(current, sorted);
    }

    private static int[] countReplicas(double[] load, int slots, int ranks) {
        int[] replicas = new int[load.length];
        Arrays.fill(replicas, 1);
        PriorityQueue<Replica> heaviest =
                new PriorityQueue<>((a, b) -> Double.compare(b.load(), a.load()));
        for (int expert = 0; expert < load.length; expert++) {
            heaviest.add(new Replica(expert, load[expert]));
        }
        for (int spare = slots - load.length; spare > 0; ) {
            Replica top = heaviest.remove();
            int expert = top.expert();
            if (replicas[expert] == ranks) {
                continue;
            }
            replicas[expert]++;
            spare--;
            heaviest.add(new Replica(expert, load[expert] / replicas[expert]));
        }
        return replicas;
    }

    private static Replica[] sortedReplicas(double[] load, int[] replicas, int slots) {
        Replica[] all = new Replica[slots];
        int next = 0;
        for (int expert = 0; expert < load.length; expert++) {
            for (int i = 0; i < replicas[expert]; i++) {
                all[next++] = new Replica(expert, load[expert] / replicas[expert]);
            }
        }
        Arrays.sort(all, (a, b) -> Double.compare(b.load(), a.load()));
        return all;
    }

    private static LayerPlacement pack(LayerPlacement current, Replica[] sorted) {
        Packing packing = new Packing(current);
        for (Replica replica : sorted) {
            if (!packing.place(replica.expert(), replica.load())) {
                // The last free slots may be on ranks that already host the expert: move nothing.
                return current;
            }
        }
        return new LayerPlacement(current.ranks(), current.experts(), packing.expertOfSlot);
    }

    /** The slots filled so far and the load of each rank. */
    private static final class Packing {
        private final int slotsPerRank;
        private final int[] expertOfSlot;
        private final int[] usedSlots;
        private final double[] rankLoad;

        Packing(LayerPlacement current) {
            slotsPerRank = current.slotsPerRank();
            expertOfSlot = new int[current.slots()];
            usedSlots = new int[current.ranks()];
            rankLoad = new double[current.ranks()];
        }

        boolean place(int expert, double load) {
            int best = -1;
            for (int rank = 0; rank < usedSlots.length; rank++) {
                boolean fits = usedSlots[rank] < slotsPerRank && !hosts(rank, expert);
                if (fits && (best < 0 || rankLoad[rank] < rankLoad[best])) {
                    best = rank;
                }
            }
            if (best < 0) {
                return false;
            }
            expertOfSlot[best * slotsPerRank + usedSlots[best]] = expert;
            usedSlots[best]++;
            rankLoad[best] += load;
            return true;
        }

        private boolean hosts(int rank, int expert) {
            int from = rank * slotsPerRank;
            for (int slot = from; slot < from + usedSlots[rank]; slot++) {
                if (expertOfSlot[slot] == expert) {
                    return true;
                }
            }
            return false;
        }
    }
}
