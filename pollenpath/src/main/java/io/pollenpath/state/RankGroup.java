package io.pollenpath.state;

import java.util.List;

/**
 * A group of backend servers that run every step together under one expert map.
 *
 * @param name the unique name, not empty
 * @param model the model that they serve, not empty
 * @param ranks the backend servers in order of rank, at least one, each once
 * @param layers the number of model layers that have experts, at least 1
 * @param expertsPerLayer the number of experts per layer, at least 1
 * @param expertSlotsPerRank the number of experts of one layer that a rank can hold, at least 1
 */
public record RankGroup(
        String name,
        String model,
        List<String> ranks,
        int layers,
        int expertsPerLayer,
        int expertSlotsPerRank) {

    /** Checks the components and copies the ranks. */
    public RankGroup {
        requireText("name", name);
        requireText("model", model);
        ranks = List.copyOf(ranks);
        if (ranks.isEmpty() || ranks.stream().distinct().count() < ranks.size()) {
            throw new IllegalArgumentException(
                    "ranks are " + ranks + "; name at least one backend server, each once");
        }
        requirePositive("layers", layers);
        requirePositive("expertsPerLayer", expertsPerLayer);
        requirePositive("expertSlotsPerRank", expertSlotsPerRank);
        if ((long) expertSlotsPerRank * ranks.size() < expertsPerLayer) {
            throw new IllegalArgumentException(
                    "expertSlotsPerRank is "
                            + expertSlotsPerRank
                            + ", too few for "
                            + expertsPerLayer
                            + " experts on "
                            + ranks.size()
                            + " ranks; raise it or add ranks");
        }
    }

    private static void requireText(String field, String value) {
        if (value == null || value.isEmpty()) {
            throw new IllegalArgumentException(field + " is empty; set it");
        }
    }

    private static void requirePositive(String field, int value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " is " + value + "; set it to at least 1");
        }
    }
}
