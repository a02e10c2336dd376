package io.pollenpath.state.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Says which experts each rank holds, set of layers by set of layers. Instances are immutable.
 *
 * @param layers for each set of layers and each rank the experts that it holds, not null
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
     * Puts a map together from what each rank says it holds.
     *
     * @param byRank for each rank and each set of layers the experts, not null
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
}
