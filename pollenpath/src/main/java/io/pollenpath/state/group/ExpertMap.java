package io.pollenpath.state.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * An immutable assignment of experts to the ranks of a group. Layers that share a placement form a
 * layer set.
 *
 * @param layers for each layer set and each rank the experts that the rank holds, not null
 */
public record ExpertMap(List<List<List<Integer>>> layers) {

    /** Copies the lists. */
    public ExpertMap {
        Objects.requireNonNull(layers, "layers");
        List<List<List<Integer>>> copy = new ArrayList<>();
        for (List<List<Integer>> ranks : layers) {
            copy.add(ranks.stream().map(List::copyOf).toList());
        }
        layers = List.copyOf(copy);
    }

    /**
     * Creates a map from the experts that each rank holds.
     *
     * @param byRank for each rank and each layer set the experts, not null; not empty
     * @return the map
     */
    public static ExpertMap ofRanks(List<List<List<Integer>>> byRank) {
        List<List<List<Integer>>> layers = new ArrayList<>();
        for (int layer = 0; layer < byRank.get(0).size(); layer++) {
            List<List<Integer>> ranks = new ArrayList<>();
            for (List<List<Integer>> rank : byRank) {
                ranks.add(rank.get(layer));
            }
            layers.add(ranks);
        }
        return new ExpertMap(layers);
    }

    /**
     * Returns the number of ranks.
     *
     * @return the number
     */
    public int ranks() {
        return layers.get(0).size();
    }

    /**
     * Returns a checksum of the whole map, by which two VMs find out that they mean the same map.
     *
     * @return the CRC-32C of the numbers of ranks and experts and of the experts, in order
     */
    public int checksum() {
        CRC32C crc = new CRC32C();
        for (List<List<Integer>> ranks : layers) {
            update(crc, ranks.size());
            for (List<Integer> experts : ranks) {
                update(crc, experts.size());
                experts.forEach(expert -> update(crc, expert));
            }
        }
        return (int) crc.getValue();
    }

    private static void update(CRC32C crc, int value) {
        for (int shift = 0; shift < Integer.SIZE; shift += Byte.SIZE) {
            crc.update(value >>> shift);
        }
    }
}
