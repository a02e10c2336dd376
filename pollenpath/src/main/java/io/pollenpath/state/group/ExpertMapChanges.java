package io.pollenpath.state.group;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The differences of an expert map from a base map with the same layer sets and ranks.
 *
 * @param layers for each layer set the ranks whose experts differ, not null
 */
public record ExpertMapChanges(List<List<RankExperts>> layers) {

    /** Copies the lists. */
    public ExpertMapChanges {
        Objects.requireNonNull(layers, "layers");
        layers = layers.stream().map(List::copyOf).toList();
    }

    /**
     * The experts of one rank in one layer set.
     *
     * @param rank the rank, from 0
     * @param experts the experts, not null
     */
    public record RankExperts(int rank, List<Integer> experts) {

        /** Copies the list. */
        public RankExperts {
            experts = List.copyOf(experts);
        }
    }

    /**
     * Finds the differences between two maps.
     *
     * @param base the map that the changes start from, not null
     * @param target the map that they lead to, not null
     * @return the changes
     * @throws IllegalArgumentException if the maps differ in their numbers of layer sets or ranks
     */
    public static ExpertMapChanges between(ExpertMap base, ExpertMap target) {
        if (base.layers().size() != target.layers().size() || base.ranks() != target.ranks()) {
            throw new IllegalArgumentException(
                    "the maps have different numbers of layer sets or ranks; send the whole map");
        }
        List<List<RankExperts>> changed = new ArrayList<>();
        for (int layer = 0; layer < target.layers().size(); layer++) {
            changed.add(changedRanks(base.layers().get(layer), target.layers().get(layer)));
        }
        return new ExpertMapChanges(changed);
    }

    private static List<RankExperts> changedRanks(
            List<List<Integer>> base, List<List<Integer>> target) {
        List<RankExperts> changed = new ArrayList<>();
        for (int rank = 0; rank < target.size(); rank++) {
            if (!target.get(rank).equals(base.get(rank))) {
                changed.add(new RankExperts(rank, target.get(rank)));
            }
        }
        return changed;
    }

    /**
     * Applies the changes to the base map.
     *
     * @param base the map that the changes start from, not null
     * @return the map that they lead to
     * @throws IllegalArgumentException if the base has another number of layer sets, or lacks a
     *     rank that is changed
     */
    public ExpertMap applyTo(ExpertMap base) {
        if (base.layers().size() != layers.size()) {
            throw new IllegalArgumentException(
                    "the base map has another number of layer sets; request the whole map");
        }
        List<List<List<Integer>>> result = new ArrayList<>();
        for (int layer = 0; layer < layers.size(); layer++) {
            result.add(applyTo(base.layers().get(layer), layers.get(layer)));
        }
        return new ExpertMap(result);
    }

    private static List<List<Integer>> applyTo(
            List<List<Integer>> base, List<RankExperts> changed) {
        List<List<Integer>> ranks = new ArrayList<>(base);
        for (RankExperts change : changed) {
            if (change.rank() < 0 || change.rank() >= ranks.size()) {
                throw new IllegalArgumentException(
                        "the base map has no rank " + change.rank() + "; request the whole map");
            }
            ranks.set(change.rank(), change.experts());
        }
        return ranks;
    }
}
